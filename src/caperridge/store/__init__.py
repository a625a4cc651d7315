"""The narrow interface to the platform and its HTTP adapter."""
