"""Sockets: tornado servers and clients, pacing and deadlines."""
