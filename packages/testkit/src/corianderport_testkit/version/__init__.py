"""What lives as long as one configuration or snapshot."""
