"""Tests of the control service's file: every fault is reported with its line and rule."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from loadbalancer.control.xds.file import ControlFileError, read_file
from tests.control.xds.support import (
    TLS,
    TWO_POOLS,
)
from tests.harness import ROOT


def test_every_fault_of_an_invalid_file_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text('version = 1\nlisten = "0.0.0.0:18000"\nrotues = "x"\nconfig = 5\n')
    with pytest.raises(ControlFileError) as caught:
        read_file(str(path))
    faults = [line.removeprefix(f"{path}:") for line in str(caught.value).splitlines()]
    assert [f.split(":")[0] for f in faults] == ["1", "2", "3", "4"]
    assert "[wide-listener]" in faults[1]
    assert "[unknown-key]" in faults[2]
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer", "control", str(path)],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2
    assert "[wide-listener]" in done.stderr


@pytest.mark.parametrize(
    ("old", "new", "line", "rule"),
    [
        ('listen = "127.0.0.1:0"', 'listen = "0.0.0.0:0"', 2, "wide-listener"),
        ('report_every = "1s"', 'report_every = "soon"', 3, "bad-value"),
        ('report_every = "1s"', 'slow_start = "both"', 3, "bad-value"),
        ('report_every = "1s"', 'routes = "r.toml"', 3, "twice"),
        ('name = "billing"', 'name = "topup"', 9, "twice"),
        ('members = "bill', 'memberz = "bill', 12, "unknown-key"),
        ('routes = "billing.toml"\n', "", 8, "missing-key"),
        ("# tls", "[tls]\nnodes = {}", 14, "missing-key"),
        ("# tls", TLS.replace('["west-*"]', "5"), 18, "bad-value"),
    ],
)
def test_a_fault_is_reported_with_line_and_rule(
    tmp_path: Path, old: str, new: str, line: int, rule: str
) -> None:
    path = tmp_path / "control.toml"
    path.write_text((TWO_POOLS + "# tls").replace(old, new))
    with pytest.raises(ControlFileError) as caught:
        read_file(str(path))
    assert f"{path}:{line}: [{rule}]" in str(caught.value), caught.value


def test_a_listener_may_have_a_non_loopback_address_with_tls(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text(TWO_POOLS.replace('listen = "127.0.0.1:0"', 'listen = "0.0.0.0:0"') + TLS)
    found = read_file(str(path))
    assert found.tls is not None
    assert found.tls.allows(["x", "proxy.east.example"], "east-1")
    assert not found.tls.allows(["proxy.east.example"], "west-1")
