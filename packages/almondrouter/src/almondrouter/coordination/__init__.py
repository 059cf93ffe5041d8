"""Coordination between daemons: membership, configuration and call routing."""
