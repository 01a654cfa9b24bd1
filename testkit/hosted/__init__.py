"""Stand-ins for the users' platform over sockets, and a small deployment."""
