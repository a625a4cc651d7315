"""Adapter to the users' platform: its store, its vocabulary and its wire format.

Only this package uses the platform's names; it decodes them into the product's types.
"""
