"""Coordination parts for clusters without a consensus group."""
