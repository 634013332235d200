"""Interfaces to the platform and clients for its HTTP protocols."""
