"""Small fakes of outside systems for tests, the demo and measurement."""
