"""Entry point of the single-file program.

The file is a zip archive from which the interpreter imports modules. Extension
modules cannot be loaded from an archive; they are copied to anonymous memory
files of this process. Thus nothing is written to a disk, and no second process
is started.
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
    """Finds extension modules in the archive.

    Attributes:
        archive: Importer of the archive.
        members: Archive members by module name.
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
        """Copies an extension module to memory and returns its spec."""
        member = self.members.get(fullname)
        if member is None:
            return None
        # The descriptor stays open. A closed number could be reused for another
        # module, and the dynamic linker takes a path that it has loaded before
        # for the same library.
        descriptor = os.memfd_create(fullname)
        with open(descriptor, "wb", closefd=False) as memory_file:
            memory_file.write(self.archive.get_data(member))
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )


if __name__ == "__main__":
    import extension_modules  # The build writes this module.

    finder = ExtensionFinder(__loader__, extension_modules.MEMBERS)
    sys.meta_path.insert(0, finder)

    from yuccatally.cli import main

    main.main(prog_name="yuccatally")
