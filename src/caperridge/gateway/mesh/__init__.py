"""Mesh of instances: each sends on streams it opened and receives on the others."""
