"""Reload of the settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from click import testing
import pytest

from yuccatally.cli import main
from yuccatally.forwarding import reload

if TYPE_CHECKING:
    import pathlib

    from yuccatally.core.forwarding import instance_settings

SETTINGS = """
nodeName = "n"
zone = "z"
[listen]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
controlPlane = "10.1.0.40:8229"
directoryService = "10.1.0.40:8224"
[bounds]
graceS = 8
[platform]
address = "10.200.1.7:8223"
"""


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    """A settings file in the platform's format."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    return path


def test_changed_file_is_applied_once(file: pathlib.Path) -> None:
    """Guards against settings that take effect only after a restart."""
    applied: list[instance_settings.InstanceSettings] = []
    reloader = reload.SettingsReloader(file, applied.append)
    reloader.check()
    file.write_text(SETTINGS.replace("graceS = 8", "graceS = 5"))
    reloader.check()
    reloader.check()
    assert [a.bounds.grace_s for a in applied] == [5.0]


def test_bad_file_leaves_the_settings_in_force(file: pathlib.Path) -> None:
    """Guards against a partially written file that stops an instance."""
    applied: list[instance_settings.InstanceSettings] = []
    reloader = reload.SettingsReloader(file, applied.append)
    for invalid in ("nodeName = ", "[listen]\n"):
        file.write_text(invalid)
        reloader.check()
    file.unlink()
    reloader.check()
    assert applied == []


def test_check_names_every_problem(file: pathlib.Path) -> None:
    """Guards against a check that reports only one problem at a time."""
    valid = testing.CliRunner().invoke(
        main.main, ["check", "--platform", str(file)]
    )
    assert (valid.exit_code, valid.output) == (0, f"{file}: ok\n")
    file.write_text(SETTINGS.replace('"10.1.0.40:8220"', "8220"))
    invalid = testing.CliRunner().invoke(
        main.main, ["check", "--platform", str(file)]
    )
    assert invalid.exit_code == 2
    assert "listen.ready" in invalid.output
