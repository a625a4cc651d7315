"""HTTP clients of targets: model engines and plain services."""
