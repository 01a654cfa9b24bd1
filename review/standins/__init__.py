"""Stand-ins for the platform, workers and clients, as the users' pages describe them.

They use the standard library alone, and share no code with the reviewed project.
"""
