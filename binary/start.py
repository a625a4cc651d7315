"""The start of the one file: imports from the archive, never from a disk.

Python modules come straight out of the archive. Extension modules have to be files
for the C library's loader, so each is copied into an anonymous file in memory when it
is first imported. Nothing is unpacked and no other process is started.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile
from collections.abc import Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from types import ModuleType

WRONG_PYTHON = 3


class ArchiveExtensions(importlib.abc.MetaPathFinder):
    """Finds extension modules in a zip archive.

    Args:
        archive: path of the zip file.
    """

    def __init__(self, archive: str) -> None:
        self._archive = zipfile.ZipFile(archive)
        self._members_by_module: dict[str, str] = {}
        for member in self._archive.namelist():
            for suffix in EXTENSION_SUFFIXES:
                if not member.endswith(suffix):
                    continue
                module = member.removesuffix(suffix).replace("/", ".")
                self._members_by_module[module] = member
                break

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return where the module is, copied into memory; None if it is not here."""
        member = self._members_by_module.get(fullname)
        if member is None:
            return None
        descriptor = os.memfd_create(member, os.MFD_CLOEXEC)
        with os.fdopen(descriptor, "wb", closefd=False) as file:
            file.write(self._archive.read(member))
        # The descriptor stays open: the path would lead nowhere without it.
        place = f"/proc/self/fd/{descriptor}"
        loader = ExtensionFileLoader(fullname, place)
        return importlib.util.spec_from_file_location(fullname, place, loader=loader)


def start(archive: str, built_for: str) -> None:
    """Run the command that ``archive`` holds.

    Args:
        archive: path of the zip file.
        built_for: suffix of the extension modules in it.
    """
    if built_for not in EXTENSION_SUFFIXES:
        version = sys.version.split()[0]
        sys.stderr.write(f"caperridge: built for {built_for}, this is {version}\n")
        sys.exit(WRONG_PYTHON)
    sys.meta_path.insert(0, ArchiveExtensions(archive))
    from caperridge.cli.main import main

    main()
