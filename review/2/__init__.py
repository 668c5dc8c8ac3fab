"""Case 2."""
