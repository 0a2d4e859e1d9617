"""Packs the program and its locked requirements into one archive."""

from __future__ import annotations

import dataclasses
import importlib.metadata
import importlib.util
import marshal
import pathlib
import stat
import zipfile

from packaging import requirements

PROJECT = "yuccatally"
SHEBANG = b"#!/usr/bin/env -S python3.11 -IS\n"
EXTENSION_SUFFIX = ".so"

# Files of a distribution that importlib.metadata reads.
METADATA_FILES = ("METADATA", "entry_points.txt")

# A fixed timestamp makes builds of the same sources identical.
TIMESTAMP = (1980, 1, 1, 0, 0, 0)

# Build dependencies of requirements, and packages not needed at run time.
EXCLUDED = frozenset({"pbr", "setuptools"})


class BuildError(Exception):
    """The program cannot be built in this environment."""


@dataclasses.dataclass(frozen=True)
class Summary:
    """Summary of a build.

    Attributes:
        path: Path of the file.
        size_bytes: Size of the file, in bytes.
        distributions: Names and versions of the distributions in it.
        extension_count: Number of extension modules in it.
    """

    path: pathlib.Path
    size_bytes: int
    distributions: tuple[str, ...]
    extension_count: int


def build(source: pathlib.Path, target: pathlib.Path) -> Summary:
    """Writes the program as a single file.

    Args:
        source: Folder with the package ``yuccatally``.
        target: File to write.

    Returns:
        A summary of the build.

    Raises:
        BuildError: A requirement is not installed, or needs a bundled library,
            which cannot be loaded from memory.
    """
    distributions = resolve_distributions(PROJECT)
    members: dict[str, bytes] = {}
    extensions: dict[str, str] = {}
    for path in sorted((source / PROJECT).rglob("*.py")):
        _add_module(members, path.relative_to(source), path)
    for distribution in distributions:
        _add_distribution(members, extensions, distribution)
    loader = pathlib.Path(__file__).with_name("loader.py")
    _add_module(members, pathlib.PurePosixPath("__main__.py"), loader)
    table = f"MEMBERS = {dict(sorted(extensions.items()))!r}\n"
    members["extension_modules.pyc"] = _compile(
        table.encode(), "extension_modules.py"
    )
    _write(target, members)
    names = tuple(f"{d.name}=={d.version}" for d in distributions)
    return Summary(target, target.stat().st_size, names, len(extensions))


def resolve_distributions(name: str) -> list[importlib.metadata.Distribution]:
    """Returns a distribution and its transitive requirements, no extras."""
    resolved: dict[str, importlib.metadata.Distribution] = {}
    pending = [name]
    while pending:
        current = _normalize(pending.pop())
        if current in resolved or current in EXCLUDED:
            continue
        try:
            resolved[current] = importlib.metadata.distribution(current)
        except importlib.metadata.PackageNotFoundError as error:
            message = f"{current} is not installed; run scripts/venv"
            raise BuildError(message) from error
        for text in resolved[current].requires or ():
            requirement = requirements.Requirement(text)
            marker = requirement.marker
            if marker is None or marker.evaluate({"extra": ""}):
                pending.append(requirement.name)
    return [resolved[key] for key in sorted(resolved)]


def _add_distribution(
    members: dict[str, bytes],
    extensions: dict[str, str],
    distribution: importlib.metadata.Distribution,
) -> None:
    for relative in distribution.files or ():
        path = pathlib.Path(str(distribution.locate_file(relative)))
        name = relative.as_posix()
        if relative.parts[0] == ".." or "__pycache__" in relative.parts:
            continue
        if relative.parts[0].endswith(".libs"):
            raise BuildError(
                f"{name}: cannot load a bundled library from memory"
            )
        if relative.parts[0].endswith(".dist-info"):
            if relative.name in METADATA_FILES:
                members[name] = path.read_bytes()
        elif relative.suffix == ".py" and distribution.name != PROJECT:
            _add_module(members, relative, path)
        elif relative.suffix == EXTENSION_SUFFIX:
            members[name] = path.read_bytes()
            extensions[_module_name(relative)] = name


def _add_module(
    members: dict[str, bytes], name: pathlib.PurePath, path: pathlib.Path
) -> None:
    compiled = _compile(path.read_bytes(), name.as_posix())
    members[name.with_suffix(".pyc").as_posix()] = compiled


def _compile(source: bytes, name: str) -> bytes:
    """Compiles a module; the result is never checked against its source."""
    code = compile(source, name, "exec", dont_inherit=True)
    flags = (1).to_bytes(4, "little")
    header = importlib.util.MAGIC_NUMBER + flags + bytes(8)
    return header + marshal.dumps(code)


def _module_name(relative: pathlib.PurePath) -> str:
    stem = relative.name.split(".", 1)[0]
    return ".".join([*relative.parts[:-1], stem])


def _normalize(name: str) -> str:
    return name.lower().replace("_", "-").replace(".", "-")


def _write(target: pathlib.Path, members: dict[str, bytes]) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as output:
        output.write(SHEBANG)
        with zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as archive:
            # The interpreter finds a namespace package (without __init__) by
            # the entry of its folder.
            for folder in sorted(_folders(members)):
                archive.writestr(zipfile.ZipInfo(f"{folder}/", TIMESTAMP), b"")
            for name, content in sorted(members.items()):
                info = zipfile.ZipInfo(name, TIMESTAMP)
                info.compress_type = zipfile.ZIP_DEFLATED
                archive.writestr(info, content)
    target.chmod(target.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | 0o001)


def _folders(members: dict[str, bytes]) -> set[str]:
    return {
        parent.as_posix()
        for name in members
        for parent in pathlib.PurePosixPath(name).parents
        if parent.name
    }
