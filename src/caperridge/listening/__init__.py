"""What clients may make one process hold: connections, bytes and parser time."""
