"""The examples are right, and the README's commands exist as written."""

import shlex
from pathlib import Path

import pytest
import typer.main

from caperridge import settings
from caperridge.cli.client import read_declarations
from caperridge.cli.main import app
from caperridge.config import declarations

ROOT = Path(__file__).parents[2]
EXAMPLES = ["heat-network", "photo-albums", "tour"]
SECRETS = {"CAPERRIDGE_PLATFORM_SECRET": "s", "CAPERRIDGE_PEERS_SECRET": "p"}
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]


@pytest.mark.parametrize("name", EXAMPLES)
def test_the_settings_of_an_example_have_no_finding(name: str) -> None:
    loaded = settings.load(ROOT / "examples" / name / "instance.toml", SECRETS)
    assert loaded.first_operator_sha256


@pytest.mark.parametrize("name", EXAMPLES)
def test_the_declarations_of_an_example_have_no_finding(name: str) -> None:
    files = read_declarations(ROOT / "examples" / name / "declarations")
    configuration = declarations.parse(files)
    assert configuration.operators_by_name
    kinds = {service.kind for service in configuration.services_by_name.values()}
    assert kinds == {"engine", "plain"}


def commands_of(page: Path) -> list[list[str]]:
    """Return each ``caperridge`` command of a page's indented blocks."""
    found: list[list[str]] = []
    for line in page.read_text().splitlines():
        words = line.strip().removeprefix("$ ")
        if not line.startswith("    ") or not words.startswith("caperridge "):
            continue
        found.append(shlex.split(words.removesuffix("&"), comments=True)[1:])
    return found


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_command_of_a_page_is_one_that_the_program_takes(
    page: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for variable in ("CAPERRIDGE_CALLERS", "CAPERRIDGE_OPERATORS", "CAPERRIDGE_TOKEN"):
        monkeypatch.setenv(variable, "http://127.0.0.1:1")
    monkeypatch.chdir(ROOT)
    for words in commands_of(page):
        command, context = typer.main.get_command(app), None
        while words and not words[0].startswith("-") and hasattr(command, "commands"):
            command = command.commands[words.pop(0)]
        if "--help" not in words and "--version" not in words:
            context = command.make_context("caperridge", words)
            assert context is not None


def test_the_tour_is_there() -> None:
    assert len(commands_of(ROOT / "README.md")) > 10
