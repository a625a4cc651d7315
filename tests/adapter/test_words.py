"""The platform's names are used only in the adapter package."""

import re
from pathlib import Path

import pytest

import caperridge

ROOT = Path(caperridge.__file__).parent
# Names of the platform's wire format that the product's own interface does not use.
WORDS = (
    "sinceRev",
    "targetVersion",
    "schemaVersion",
    "expectedRev",
    "nextToken",
    "trafficSplit",
    "pathPrefix",
    "maxQueuedTokens",
    "runTargetMs",
    "retentionS",
    "targetLatencyMs",
    "gapTargetMs",
    "healthPath",
    "dead_letter",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "blob-put",
    "blob-get",
    "/lots/",
    "X-Model",
    "X-Token-Usage",
    "X-Prompt-Prefix",
    "X-Response-Stamp",
    "X-Not-Executed",
    "X-Expect-Instance",
    "X-Wait-Ms",
    "X-Tenant",
    "apiKeys",
    "ratePerS",
    "quotaWindowS",
    "CAPERRIDGE_CONFIG",
)


def found_in(text: str) -> list[str]:
    return [word for word in WORDS if re.search(re.escape(word), text)]


def test_no_word_of_the_platform_stands_outside_the_adapter() -> None:
    findings = [
        f"{path.relative_to(ROOT)}: {word}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.relative_to(ROOT).parts[0] != "platform"
        for word in found_in(path.read_text())
    ]
    assert findings == []


@pytest.mark.parametrize("word", WORDS)
def test_a_planted_word_is_found(word: str) -> None:
    assert found_in(f"name = {word!r}\n") == [word]


def test_the_adapter_is_small() -> None:
    lines = sum(
        len(path.read_text().splitlines()) for path in ROOT.glob("platform/*.py")
    )
    assert lines < 700


def test_a_serving_process_imports_nothing_it_does_not_use() -> None:
    import subprocess
    import sys

    text = (
        "import sys; import caperridge.platform.serve; "
        "print([m for m in sys.modules if m.startswith(("
        "'typer', 'rich', 'matplotlib', 'caperridge.cli', 'caperridge.measure', "
        "'caperridge.standins', 'caperridge.demo', 'caperridge.instance'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", text], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
