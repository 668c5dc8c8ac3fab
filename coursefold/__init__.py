"""coursefold: a cluster scheduler with a queue-sized fleet."""

__version__ = "0.1.0"
