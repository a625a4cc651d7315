"""Tests of batch jobs."""
