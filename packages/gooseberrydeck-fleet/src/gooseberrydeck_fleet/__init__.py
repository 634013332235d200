"""Scheduling decisions for a whole fleet of workers.

This package opens no sockets, starts no threads and reads no clock.
"""
