"""Tests of the product around the path: security, clients, logs, the binary."""
