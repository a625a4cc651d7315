"""Stand-ins and processes for the cases 4 to 6."""
