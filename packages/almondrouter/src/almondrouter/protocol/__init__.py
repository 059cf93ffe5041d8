"""Protocol: messages, frames, headers and keys."""
