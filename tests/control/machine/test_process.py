"""Tests of a control machine's process, and that a plain node imports none of its code."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tests.control_machines import write_file
from tests.harness import ROOT


def test_an_unusable_file_or_name_ends_the_process_with_status_2(tmp_path: Path) -> None:
    path = write_file(tmp_path)
    cases = {
        ("scale", str(path), "--machine", "east-x"): "--machine: [unknown-machine] no 'east-x'",
        ("scale", str(tmp_path / "no.toml"), "--machine", "east-a"): "[unreadable]",
    }
    for arguments, text in cases.items():
        command = [sys.executable, "-B", "-m", "loadbalancer", *arguments]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=20)
        assert done.returncode == 2
        assert text in done.stderr
        assert done.stderr.count("\n") == 1


def test_a_plain_node_imports_nothing_of_a_control_machine() -> None:
    code = "import sys, loadbalancer.proxy.host, loadbalancer.proxy.process; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True)
    names = done.stdout.decode().split()
    assert "loadbalancer.proxy.host" in names
    absent = (
        "loadbalancer.control",
        "loadbalancer.core.assignment",
        "loadbalancer.core.replicated_log",
        "loadbalancer.core.subscription",
        "loadbalancer.sources.watchers",
    )
    assert not [name for name in names if name.startswith(absent)]
