"""The almondrouter daemon."""
