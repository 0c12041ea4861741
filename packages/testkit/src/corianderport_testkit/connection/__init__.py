"""Objects whose lifetime is one connection."""
