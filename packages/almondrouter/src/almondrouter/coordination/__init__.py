"""Coordination between daemons: membership, configuration and call routing.

The two daemons learn of hosts and configuration changes in different ways:
`almondrouterd.daemon` by `membership` and `distribution`, `almondrouterd.hostdaemon`
by `directory`, `registration`, `storefeed`, `relays`, `isolation` and `activeroutes`.
"""
