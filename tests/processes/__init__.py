"""Tests of whole processes under kills and freezes."""
