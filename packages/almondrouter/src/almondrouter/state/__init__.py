"""Configuration, host records and the routing tables compiled from them."""
