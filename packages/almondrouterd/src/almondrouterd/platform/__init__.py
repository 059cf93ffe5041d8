"""Adapters for the hosting platform: settings, headers, documents and store calls."""
