"""Components with the lifetime of one request."""
