"""Components with the lifetime of the process."""
