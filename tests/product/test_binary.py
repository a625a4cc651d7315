"""The start of the one file: extension modules from memory, in one process."""

import json
import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path
from shutil import copytree

import msgpack
import pytest

BINARY = Path(__file__).parents[2] / "binary"
COMMAND = """
import json, os
import msgpack

def main():
    from msgpack import _cmsgpack
    tasks = os.listdir("/proc/self/task")
    children = [open(f"/proc/self/task/{t}/children").read() for t in tasks]
    found = {"answer": msgpack.unpackb(_cmsgpack.Packer().pack([1, 2])),
             "file": _cmsgpack.__file__, "children": "".join(children)}
    print(json.dumps(found))
"""


@pytest.fixture
def archive(tmp_path: Path) -> Path:
    """A file built of a small command and one package with an extension module."""
    site = tmp_path / "site"
    copytree(Path(msgpack.__file__).parent, site / "msgpack")
    command = site / "caperridge" / "cli"
    command.mkdir(parents=True)
    (command / "main.py").write_text(COMMAND)
    file = tmp_path / "caperridge"
    build = [sys.executable, str(BINARY / "build.py"), str(site), str(file)]
    subprocess.run(build, check=True)
    return file


def test_it_runs_from_the_file_alone_and_starts_no_process(
    archive: Path, tmp_path: Path
) -> None:
    before = sorted(tmp_path.rglob("*"))
    # -I -S: nothing of this environment's packages is seen.
    command = [sys.executable, "-I", "-S", str(archive)]
    ended = subprocess.run(command, capture_output=True, check=True, cwd=tmp_path)
    found = json.loads(ended.stdout)
    assert found["answer"] == [1, 2]
    assert found["file"].startswith("/proc/self/fd/")
    assert found["children"] == ""
    assert sorted(tmp_path.rglob("*")) == before


def test_another_python_is_told_so(archive: Path) -> None:
    wrong = EXTENSION_SUFFIXES[0].replace("cpython-3", "cpython-9")
    script = (
        f"import sys; sys.path.insert(0, {str(archive)!r}); "
        f"from caperridge_start import start; start({str(archive)!r}, {wrong!r})"
    )
    command = [sys.executable, "-c", script]
    ended = subprocess.run(command, capture_output=True, check=False)
    assert ended.returncode == 3
    assert b"built for" in ended.stderr
