"""The page that says how each promise is proved names tests and files that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "DESIGN.md"
TEST_ID = re.compile(r"`(tests/[\w/]+\.py)::(\w+)`")
MODULE = re.compile(r"`((?:commands|decisions|instance|targets|platform)/\w+\.py)`")
LINK = re.compile(r"\]\(([\w/.-]+\.md)\)")
PROMISES = 9


def defined_in(path: Path) -> set[str]:
    """Return the functions, classes and names that a module defines at its top."""
    names: set[str] = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Assign):
            names.update(t.id for t in node.targets if isinstance(t, ast.Name))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
    return names


def missing_from(text: str) -> list[str]:
    """Return what the page names and the repository lacks."""
    missing: list[str] = []
    for file, name in TEST_ID.findall(text):
        if not (ROOT / file).is_file() or name not in defined_in(ROOT / file):
            missing.append(f"{file}::{name}")
    for module in MODULE.findall(text):
        if not (ROOT / "src" / "caperridge" / module).is_file():
            missing.append(module)
    for link in LINK.findall(text):
        if not (PAGE.parent / link).is_file():
            missing.append(link)
    return missing


def test_what_the_page_names_is_there() -> None:
    assert missing_from(PAGE.read_text()) == []


def test_each_promise_has_its_mechanism_its_tests_and_its_figure() -> None:
    _, *sections = re.split(r"^### ", PAGE.read_text(), flags=re.MULTILINE)
    assert len(sections) == PROMISES
    for section in sections:
        marks = re.findall(r"^- \*\*(\w+):\*\*", section, flags=re.MULTILINE)
        assert marks == ["Mechanism", "Proof", "Measured"]
        assert TEST_ID.search(section)


@pytest.mark.parametrize(
    "text",
    [
        "`tests/test_design_page.py::test_of_nothing`",
        "`tests/nowhere.py::test_a`",
        "`decisions/nothing.py`",
        "[a](design/nothing.md)",
    ],
)
def test_what_is_missing_is_found(text: str) -> None:
    assert len(missing_from(text)) == 1
