"""Library and command line tool for operators."""
