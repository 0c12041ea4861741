"""Objects whose lifetime is one request."""
