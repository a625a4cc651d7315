"""What changes lasting state; each command is one function."""
