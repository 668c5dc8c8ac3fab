"""Shares: how many machines each controller owns, and moves of machines between them."""
