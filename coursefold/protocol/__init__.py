"""What goes over the wire: message shapes, their limits, and the small types."""
