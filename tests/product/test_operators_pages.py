"""The operators' pages name every metric and every code of a refusal, and no other."""

import ast
import json
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from caperridge.instance.dump import dump
from caperridge.instance.process import Instance
from caperridge.measure.report import numbers
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform

ROOT = Path(__file__).parents[2]
PAGES = ROOT / "docs" / "operators"
# What makes a refusal, or is turned into one, and gets its code as an argument.
MAKERS = {
    "Refusal",
    "refuse",
    "_refuse",
    "FailItem",
    "RefuseCall",
    "Stop",
    "TurnedAway",
    "OverLimit",
}
MAKERS |= {"failed_result"}
CODE = re.compile(r"[a-z]+(_[a-z]+)*")
ELSEWHERE = {"cli", "demo", "measure", "standins"}


def first_cells(page: Path) -> set[str]:
    """Return what stands in backquotes in the first cell of each table row."""
    rows = re.findall(r"^\| `([^`]+)` \|", page.read_text(), re.MULTILINE)
    return {row for row in rows if row not in ("run", "not_run", "unknown", "ran")}


def trees() -> Iterator[ast.Module]:
    source = ROOT / "src" / "caperridge"
    for path in sorted(source.rglob("*.py")):
        if path.relative_to(source).parts[0] not in ELSEWHERE:
            yield ast.parse(path.read_text())


def constants() -> dict[str, str]:
    """Return the module constants that are texts, by name."""
    found: dict[str, str] = {}
    for tree in trees():
        for node in tree.body:
            match node:
                case ast.Assign([ast.Name(name)], ast.Constant(str(value))):
                    found[name] = value
    return found


def codes_in_source() -> set[str]:
    """Return each code that the source gives to a refusal."""
    values = constants()
    found: set[str] = set()
    for tree in trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "id", getattr(node.func, "attr", ""))
            if name not in MAKERS:
                continue
            for argument in node.args[:2]:
                code = getattr(argument, "value", None)
                if isinstance(argument, ast.Name):
                    code = values.get(argument.id)
                if isinstance(code, str) and CODE.fullmatch(code):
                    found.add(code)
                    break
    return found


def test_every_code_of_a_refusal_has_its_line() -> None:
    codes = codes_in_source()
    assert {"unauthorized", "queue_full", "outcome_unknown", "rate_limit"} <= codes
    assert first_cells(PAGES / "refusals.md") == codes


def test_every_metric_has_its_line(memory: MemoryPlatform) -> None:
    settings = Settings("one", "oviedo", "http://127.0.0.1:9", peers_secret="s")
    instance = Instance(settings, memory)
    names = set()
    for metric in instance.metrics.registry._collector_to_names:
        labels = ",".join(metric._labelnames)
        names.add(metric._name + (f"{{{labels}}}" if labels else ""))
    assert first_cells(PAGES / "metrics.md") == names


@pytest.mark.parametrize("page", sorted(PAGES.glob("*.md")), ids=lambda p: p.name)
def test_links_of_a_page_lead_somewhere(page: Path) -> None:
    for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
        assert (page.parent / link).exists(), link


async def test_the_fields_named_for_a_dump_are_in_it(memory: MemoryPlatform) -> None:
    settings = Settings("one", "oviedo", "http://127.0.0.1:9", peers_secret="s")
    page = (PAGES / "failures.md").read_text()
    section = page.partition("## Reading a dump")[2].partition("\n## ")[0]
    named = set(re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE))
    assert "stop" in named
    assert named <= set(dump(Instance(settings, memory)))


def test_what_the_failures_page_quotes_stands_in_the_source() -> None:
    source = (ROOT / "src" / "caperridge").rglob("*.py")
    texts = " ".join(path.read_text() for path in source)
    page = (PAGES / "failures.md").read_text()
    # Commands are checked with the examples.
    quoted = re.findall(r"`((?!caperridge )[a-z][a-z;:]+(?: [a-z:;]+)+)`", page)
    assert "peer removed" in quoted
    assert [text for text in quoted if text not in texts] == []


SIZING_FIELDS = {
    "relay": ["cpu_us_a_request", "arms.1.a_read_us"],
    "roles": [
        "resident_mib_of_one",
        "slopes.held_kib_a_caller",
        "slopes.held_kib_a_target",
        "slopes.held_kib_a_stream",
        "by_instances",
    ],
}


@pytest.mark.parametrize("experiment", sorted(SIZING_FIELDS))
def test_the_figures_named_for_sizing_are_in_a_run(experiment: str) -> None:
    page = (PAGES / "sizing.md").read_text()
    run = json.loads(
        (ROOT / "docs" / "measurements" / f"{experiment}.json").read_text()
    )
    paths = {path for path, _ in numbers(run)}
    for field in SIZING_FIELDS[experiment]:
        assert field in page
        assert any(f"{path}.".startswith(f"{field}.") for path in paths), field
