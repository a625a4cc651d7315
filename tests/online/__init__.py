"""Tests of online requests."""
