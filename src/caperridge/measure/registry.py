"""The experiments by name.

Each is a module with ``async def run(options: Options) -> dict[str, Any]``; the map
it returns is what ``caperridge measure NAME --json`` prints. Modules are imported
only when asked for.
"""

import importlib
import importlib.util
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
    "parts": "caperridge.measure.prompt_parts",
    "plain": "caperridge.measure.plain",
    "quota": "caperridge.measure.quota",
    "reads": "caperridge.measure.reads",
    "recovery": "caperridge.measure.recovery",
    "relay": "caperridge.measure.relay",
    "roles": "caperridge.measure.roles",
    "routing": "caperridge.measure.routing",
    "scarcity": "caperridge.measure.scarcity",
    "streams": "caperridge.measure.stream_origins",
}

# All experiments of a run share one process. These take its memory for that of an
# instance, so they come before what others leave behind.
BEFORE_OTHERS = ("control", "roles")

SUMMARIES_BY_NAME = {
    "batch": "Batch throughput, and what each mechanism takes of it.",
    "configuration": "From confirm to in force everywhere, and what it costs.",
    "control": "Processor time, memory and traffic of an instance's control.",
    "matching": "Rules for giving waiting chunks to idle targets, compared.",
    "online-tail": "Harm that batch work does to the tail of online requests.",
    "parts": "Ways to find a prompt part that crashes its targets, compared.",
    "plain": "What claiming a keyed call to a plain service adds to it.",
    "quota": "Ways to keep a team's quota over all instances, compared.",
    "reads": "Reads of the table by idle instances, shared in a zone and not.",
    "recovery": "From a loss to full service again.",
    "relay": "Tokens a second forwarded by one core, and first-token time added.",
    "roles": "What the roles of an instance hold and ask for, by size.",
    "routing": "Rules for choosing a target, compared.",
    "streams": "Where the origin of a stream is kept, by cost and after losses.",
    "scarcity": "Who is served where slots are too few, by parts of the policy.",
}


def exists(name: str) -> bool:
    """Return whether the experiment of that name is built."""
    return importlib.util.find_spec(MODULES_BY_NAME[name]) is not None


def in_order() -> list[str]:
    """Return the names of all experiments that are built, as one run takes them."""
    others = [name for name in MODULES_BY_NAME if name not in BEFORE_OTHERS]
    return [name for name in (*BEFORE_OTHERS, *others) if exists(name)]


def load(name: str) -> Run:
    """Return the experiment of that name.

    Raises:
        KeyError: there is none.
    """
    return importlib.import_module(MODULES_BY_NAME[name]).run
