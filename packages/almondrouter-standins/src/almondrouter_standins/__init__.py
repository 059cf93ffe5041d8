"""Stand-ins for the store, the network and backend servers in tests and the demo."""
