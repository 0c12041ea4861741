"""Components with the lifetime of one connection."""
