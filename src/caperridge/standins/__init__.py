"""In-memory fakes of external systems for tests, the demo and measurements."""
