"""Components with the lifetime of one configuration or snapshot."""
