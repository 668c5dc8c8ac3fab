"""Case 1."""
