"""coursefold: a cluster scheduler with a queue-sized fleet."""

__version__ = "0.2.0"
