"""Roll-outs: moving the traffic of a service to another version, or back.

`orders` holds what operators ordered, `versions` chooses which versions may get a
request, `tally` counts the results on this host, `evidence` sums them over the fleet,
`verdict` compares the versions, `coordinator` decides, `lease` and `decisions` are the
durable part in the store, and `manager` joins these on one daemon.
"""
