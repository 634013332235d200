"""The member process: the HTTP interface for callers, scheduling and metrics."""
