"""Declarations, and the versioned configuration made of them."""
