"""State: configuration, host records and what is compiled from them."""
