"""Clients of what does the work: model engines and plain services."""
