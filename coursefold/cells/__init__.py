"""Cells: jobs spill over from one cell to another. See `docs/cells.md`."""
