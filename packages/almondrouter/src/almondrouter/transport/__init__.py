"""Network transports: etcd client, control links, call links and HTTP."""
