"""Interface to the platform's table, objects and member list, with HTTP client."""
