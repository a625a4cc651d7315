"""Streams between instances: each sends on those it opened, and hears on the others."""
