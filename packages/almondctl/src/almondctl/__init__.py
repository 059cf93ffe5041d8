"""The operator command of almondrouter."""
