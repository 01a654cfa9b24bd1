"""Stand-ins for the users' platform over sockets, and entry processes beside them."""
