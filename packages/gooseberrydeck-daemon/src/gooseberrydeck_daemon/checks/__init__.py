"""Checks of settings, which report each problem with an id, a JSON path and a hint."""

from gooseberrydeck_daemon.checks.messages import CheckMessage, CheckMessageError
from gooseberrydeck_daemon.checks.structure import find_structure_problems

__all__ = ["CheckMessage", "CheckMessageError", "find_structure_problems"]
