"""Objects whose lifetime is the process."""
