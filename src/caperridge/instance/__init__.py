"""The tasks of one instance and their wiring; no policy lives here."""
