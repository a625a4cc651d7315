"""Decisions under load, without a network."""
