"""Who is in the view, how long a member may act, and delivery between members.

Imports the vocabulary.
"""
