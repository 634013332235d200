"""Tasks, their supervision, and the HTTP server shared by all processes."""
