"""Jobs of opaque items: accepted once, run in the gaps, results at fixed positions."""
