"""The experiments by name.

Each is a module with ``async def run(options: Options) -> dict[str, Any]``; the map
it returns is what ``caperridge measure NAME --json`` prints. Modules are imported
only when asked for.
"""

import importlib
from collections.abc import Awaitable, Callable
from typing import Any

from caperridge.measure.options import Options

Run = Callable[[Options], Awaitable[dict[str, Any]]]

MODULES_BY_NAME = {
    "batch": "caperridge.measure.batch",
    "configuration": "caperridge.measure.configuration",
    "control": "caperridge.measure.control",
    "matching": "caperridge.measure.matching",
    "online-tail": "caperridge.measure.online_tail",
    "recovery": "caperridge.measure.recovery",
    "relay": "caperridge.measure.relay",
    "routing": "caperridge.measure.routing",
}


def load(name: str) -> Run:
    """Return the experiment of that name.

    Raises:
        KeyError: there is none.
    """
    return importlib.import_module(MODULES_BY_NAME[name]).run
