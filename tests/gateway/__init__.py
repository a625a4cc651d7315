"""Tests of the gateway before stand-ins of the users' platform."""
