"""Stand-ins of the platform for tests, benches and the demo."""
