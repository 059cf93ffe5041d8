"""The almondrouter daemon, which runs beside the backend server on each host."""
