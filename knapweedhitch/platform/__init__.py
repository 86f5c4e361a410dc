"""The platform's names, formats and calls, translated into those of knapweedhitch."""
