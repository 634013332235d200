"""Interfaces to the platform and the adapters that speak its protocols."""
