"""Entry point of the one-file program.

The file is a zip archive that the interpreter reads modules from. Extension
modules cannot be loaded from an archive. They are copied to anonymous memory
files of this process, so that nothing is written to a disk and no second
process is started.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    import types
    import zipimport


class ExtensionFinder(importlib.abc.MetaPathFinder):
    """Finds extension modules of the archive.

    Attributes:
        archive: The archive.
        members: Members of the archive by name of the module.
    """

    def __init__(
        self, archive: zipimport.zipimporter, members: Mapping[str, str]
    ) -> None:
        self.archive = archive
        self.members = members

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None = None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns where an extension module can be loaded from."""
        member = self.members.get(fullname)
        if member is None:
            return None
        # The descriptor stays open: the dynamic linker takes a path that it
        # has seen for the library it has loaded from there.
        descriptor = os.memfd_create(fullname)
        with open(descriptor, "wb", closefd=False) as opened:
            opened.write(self.archive.get_data(member))
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )


if __name__ == "__main__":
    import extension_modules  # written by the build

    finder = ExtensionFinder(__loader__, extension_modules.MEMBERS)
    sys.meta_path.insert(0, finder)

    from yuccatally.cli import main

    main.main(prog_name="yuccatally")
