"""The program as a single file."""

from __future__ import annotations

import hashlib
import pathlib
import subprocess
import time
from typing import TYPE_CHECKING

from yuccatally_build import archive
from yuccatally_standins import site

if TYPE_CHECKING:
    import pytest

SOURCE = pathlib.Path(archive.__file__).parents[1]


def wait_for_configuration(started: site.Site, process: site.Process) -> None:
    """Waits until an instance has applied the last declared object.

    An instance refuses requests with status 503 until its first
    configuration arrives, and a site without engines counts as ready before.
    """
    key = hashlib.sha256(site.ACCOUNT_KEY.encode()).hexdigest()
    last = started.declare("client_account", "desk", {"key_sha256": key})
    deadline = time.monotonic() + site.READY_TIMEOUT_S
    while started.status(process)["revision"] < last["revision"]:
        if time.monotonic() > deadline:
            message = f"{process.name} did not reach {last['revision']}"
            raise TimeoutError(message)
        time.sleep(0.05)


def test_one_file_serves_without_other_files_or_processes(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a program that unpacks to a disk or starts a new process.

    The file runs with only itself on the module path. Its memory maps contain
    neither files of the build environment nor extension modules on a disk.
    """
    program = tmp_path / "yuccatally"
    summary = archive.build(SOURCE, program)
    rebuilt = archive.build(SOURCE, tmp_path / "again")
    assert program.read_bytes() == rebuilt.path.read_bytes()
    assert summary.extension_count > 10
    monkeypatch.setenv("TMPDIR", "/no/such/folder")
    version = subprocess.run(
        [program, "--version"], capture_output=True, text=True, check=True
    )
    assert version.stdout.startswith("yuccatally, version")
    spec = site.SiteSpec(instances=1, engines=(), pipelines={})
    started = site.Site(spec, tmp_path, (str(program),))
    try:
        started.start()
        process = started.of_role("instance")[0]
        wait_for_configuration(started, process)
        url = f"{process.url}/v1/models"
        response = site.fetch("GET", url, key=site.ACCOUNT_KEY)
        assert (response.status, response.outcome) == (200, "answered")
        proc = pathlib.Path(f"/proc/{process.popen.pid}")
        children = [p.read_text() for p in proc.glob("task/*/children")]
        assert not any(children)
        maps = proc.joinpath("maps").read_text()
        assert "site-packages" not in maps
        assert "/memfd:uvloop.loop" in maps
    finally:
        started.stop()
