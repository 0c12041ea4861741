"""Complete deployments to copy and change."""
