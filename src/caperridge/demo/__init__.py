"""The demo: the main job with its faults, in one process on loopback."""
