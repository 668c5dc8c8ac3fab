"""Stand-ins for the external services, written from the protocol documentation alone."""
