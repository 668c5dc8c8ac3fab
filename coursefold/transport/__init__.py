"""Sockets: tornado servers and clients, with rate limits and timeouts."""
