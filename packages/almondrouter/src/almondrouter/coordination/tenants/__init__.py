"""Who may send a request: the keys of tenants, and the rank of their requests.

`admission` is asked by `Forwarder` once for each request, before a destination is
chosen. The tenants come with the routing configuration, so that keys are added and
removed with its versions.
"""
