"""Scheduling decisions: state machines that do no I/O and read neither clock nor random source."""
