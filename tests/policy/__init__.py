"""Tests of decisions under load, without a network."""
