"""Online and batch inference on one fleet of targets, without a leader."""

__version__ = "0.1.0"
