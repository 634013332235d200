"""The member process: callers' HTTP, readiness, metrics and a share of the work."""
