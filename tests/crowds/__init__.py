"""Crowds of clients that don't behave, against instances as processes.

What a crowd sends, how many there are and the bounds are fixed: a bound is what the
settings name as the machine of the process.
"""

import pytest

pytest.register_assert_rewrite("crowds.crowd")
