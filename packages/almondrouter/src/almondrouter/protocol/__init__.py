"""Wire protocol: messages, frames, HTTP headers and keys."""
