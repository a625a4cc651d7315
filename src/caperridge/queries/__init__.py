"""Queries: functions that read state and never write it."""
