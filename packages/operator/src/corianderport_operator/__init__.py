"""The operators' library and command line."""
