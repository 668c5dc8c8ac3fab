"""Stand-ins and helpers that the cases 4 to 8 share."""
