"""Tests of the streams between instances and of the membership view."""
