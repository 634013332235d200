"""Placement and ordering decisions as pure functions of state and time."""
