"""Types that all rooms share: amounts, work, records, messages, events and effects.

Imports no other room.
"""
