"""Batch jobs of opaque items: run in free slots, with results at fixed positions."""
