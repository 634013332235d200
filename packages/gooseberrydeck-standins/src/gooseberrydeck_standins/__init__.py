"""Small stand-ins for the platform, used by tests, benches and the demo."""
