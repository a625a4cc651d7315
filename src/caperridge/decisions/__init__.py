"""Pure decision logic: takes state, a message and a time; returns typed actions."""
