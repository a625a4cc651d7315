"""Streams of msgpack messages between instances."""
