"""Decisions of the query tier, independent of any encoding."""
