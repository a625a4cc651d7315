"""Tests of the streams between instances and the view of who lives."""
