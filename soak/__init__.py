"""Soak test with fault injection, on a cell of real processes."""
