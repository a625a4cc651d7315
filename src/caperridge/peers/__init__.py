"""Authenticated streams of msgpack messages between instances."""
