"""Tests of the command line and its inputs."""
