"""Simulates fleets of daemons in one process, in virtual time."""
