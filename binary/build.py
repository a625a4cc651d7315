"""Builds the one file of a directory of installed packages.

Usage: build.py DIRECTORY FILE
"""

import compileall
import sys
import zipapp
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

INTERPRETER = "/usr/bin/env python3"
START = Path(__file__).with_name("start.py")
MAIN = """\
import sys

from caperridge_start import start

start(sys.argv[0], {suffix!r})
"""


def build(directory: Path, file: Path) -> None:
    """Write ``file``, which runs ``caperridge`` of the packages in ``directory``."""
    (directory / "caperridge_start.py").write_text(START.read_text())
    (directory / "__main__.py").write_text(MAIN.format(suffix=EXTENSION_SUFFIXES[0]))
    # Compiled beside the sources, where an import from a zip archive looks.
    if not compileall.compile_dir(directory, quiet=1, legacy=True):
        sys.exit("build.py: a module does not compile")
    file.parent.mkdir(parents=True, exist_ok=True)
    zipapp.create_archive(directory, file, INTERPRETER, compressed=True)
    file.chmod(0o755)


if __name__ == "__main__":
    build(Path(sys.argv[1]), Path(sys.argv[2]))
