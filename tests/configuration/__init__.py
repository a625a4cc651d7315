"""Tests of the configuration and of intents."""
