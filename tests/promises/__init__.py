"""The promises of the system, proved whole under failure."""
