"""Messages on the network: their fields, limits and encodings, and types for ids and times."""
