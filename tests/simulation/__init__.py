"""Fleets of daemons in one process under virtual time."""
