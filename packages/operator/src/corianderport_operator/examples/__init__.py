"""Complete example deployments to copy and adapt."""
