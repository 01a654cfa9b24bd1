"""Operators' questions and changes, and what they are shown.

Imports every room before it.
"""
