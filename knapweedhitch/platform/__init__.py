"""Adapt the names, formats and API calls of the platform to knapweedhitch."""
