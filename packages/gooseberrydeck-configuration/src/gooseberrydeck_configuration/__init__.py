"""Operators' named objects and the checks over the whole set."""
