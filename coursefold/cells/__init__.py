"""Moves waiting jobs between cells, each of which is a cluster. See `docs/cells.md`."""
