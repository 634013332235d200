"""Decisions of the scheduler that sees a whole fleet of workers.

Nothing here opens a socket, starts a thread or reads a clock.
"""
