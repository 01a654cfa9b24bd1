"""Membership views, authority to act, and delivery of messages between members.

Imports the model.
"""
