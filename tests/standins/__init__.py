"""Contract tests of the stand-ins."""
