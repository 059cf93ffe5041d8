"""Coordination: decisions that daemons take together."""
