"""Shares: how many machines each controller of a cell owns, and moves between controllers."""
