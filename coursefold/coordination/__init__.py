"""Decisions: pure state machines without I/O, clock or randomness of their own."""
