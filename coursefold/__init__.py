"""coursefold: a cluster scheduler that sizes its fleet of rented machines by its queues."""

__version__ = "0.2.0"
