"""TLS on the HTTP listeners, with certificates made for the test."""

from __future__ import annotations

import os
import ssl
import subprocess
import sys
import time
from typing import TYPE_CHECKING
import urllib.request

from click import testing

from yuccatally.cli import main
from yuccatally_standins import certificates
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable
    import pathlib


def run(address: str, *arguments: str) -> testing.Result:
    environment = {
        "YUCCATALLY_ADDRESS": address,
        "YUCCATALLY_KEY": site.OPERATORS_KEY,
    }
    return testing.CliRunner().invoke(
        main.main, list(arguments), env=environment
    )


def secured(text: str, files: certificates.Files) -> str:
    """Returns settings with TLS on both HTTP listeners."""
    tls = (
        f'certificate_file = "{files.certificate}"\nkey_file = "{files.key}"\n'
    )
    for section in ("callers", "operators"):
        extra = tls
        if section == "operators":
            extra += f'authority_file = "{files.authority}"\n'
        text = text.replace(f"[{section}]\n", f"[{section}]\n{extra}")
    return text


def test_instances_and_commands_speak_tls(
    start_site: Callable[..., site.Site], tmp_path: pathlib.Path
) -> None:
    """Guards against a key sent in the clear, or to an unverified instance."""
    started = start_site(site.Plan(instances=0, engines=(), pipelines={}))
    files = certificates.write(tmp_path, "127.0.0.1")
    platform = started.processes["platform"]
    members = []
    processes = []
    try:
        for name in ("i1", "i2"):
            addresses = {
                role: f"127.0.0.1:{site.free_port()}"
                for role in ("callers", "operators", "peers")
            }
            text = site.settings_text(
                name, "north", addresses, platform.address
            )
            settings = tmp_path / f"{name}.toml"
            settings.write_text(secured(text, files))
            command = [sys.executable, "-m", "yuccatally", "run", settings]
            processes.append(subprocess.Popen(command, env=os.environ))
            announced = {f"{r}_address": a for r, a in addresses.items()}
            members.append({"name": name, "data_centre": "north", **announced})
        site.fetch("PUT", f"{platform.url}/admin/instances", members)
        address = f"https://{members[0]['operators_address']}"
        authority = ("--authority", str(files.authority))
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            shown = run(address, "status", *authority)
            # Both answer and have the configuration in force.
            if "2/2" in shown.stdout:
                break
        assert shown.exit_code == 0, shown.output
        assert shown.stdout.count("serving") == 2
        unverified = run(address, "status")
        assert unverified.exit_code == 4
        assert "CERTIFICATE_VERIFY_FAILED" in unverified.stderr
        plain = run(members[0]["operators_address"], "status")
        assert plain.exit_code != 0
        context = ssl.create_default_context(cafile=files.authority)
        url = f"https://{members[0]['callers_address']}/v1/models"
        request = urllib.request.Request(
            url, headers={"Authorization": f"Bearer {site.ACCOUNT_KEY}"}
        )
        with urllib.request.urlopen(request, context=context) as answer:
            assert answer.status == 200
    finally:
        for process in processes:
            process.kill()
            process.wait()


def test_certificate_and_key_must_match(tmp_path: pathlib.Path) -> None:
    """Guards against a listener that fails at its first connection."""
    folders = [tmp_path / "a", tmp_path / "b"]
    for folder in folders:
        folder.mkdir()
    one, other = (certificates.write(f, "127.0.0.1") for f in folders)
    addresses = {
        role: f"127.0.0.1:{port}"
        for port, role in enumerate(("callers", "operators", "peers"), 1)
    }
    text = site.settings_text("i1", "north", addresses, "127.0.0.1:9")
    file = tmp_path / "settings.toml"
    mixed = certificates.Files(one.certificate, other.key, one.authority)
    for files, status in ((one, 0), (mixed, 2)):
        file.write_text(secured(text, files))
        checked = testing.CliRunner().invoke(main.main, ["check", str(file)])
        assert checked.exit_code == status, checked.output
    assert "callers.certificate_file: does not form a pair" in checked.stderr
