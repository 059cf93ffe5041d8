"""The network link of the host as a resource: order, pacing and admission of transfers.

Designed for links that long responses nearly fill, and that short frames share with
them. None of the modules uses a socket. Used by the daemon for hosting platforms.
"""
