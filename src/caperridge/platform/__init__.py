"""The adapter to the users' platform: its store, its words and its wire.

Nothing outside this folder knows what the platform calls things; each name is decoded
once, here, into types of the product.
"""
