"""Parsing and validation of declarations; the versioned configuration."""
