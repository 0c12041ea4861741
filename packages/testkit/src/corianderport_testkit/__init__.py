"""Stand-ins for outside systems, scenarios and the bench."""
