"""Quotas: how many requests of a tenant all daemons together admit.

One daemon, the owner, divides the quota of a tenant among the daemons that report to it
(`owner`, `ledger`). Each daemon admits requests from the allowance that it has been
granted (`allowances`, `sessions`, `service`). The modules have no sockets.
"""
