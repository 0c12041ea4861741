"""Objects whose lifetime is one configuration or snapshot."""
