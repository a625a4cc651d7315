"""The load and experiment tool."""
