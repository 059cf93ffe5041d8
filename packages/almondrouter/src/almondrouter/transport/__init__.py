"""Transport: the store, control links, call links and HTTP."""
