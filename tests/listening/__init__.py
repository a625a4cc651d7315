"""What clients may make a process hold."""
