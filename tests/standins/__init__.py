"""Stand-ins for the outside systems, written from the protocol page alone."""
