"""The load of a region that has lost its log."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.control.machine import log_loader
from tests.control_machines import rows, started
from tests.harness import until


def test_a_source_that_can_not_be_used_is_logged_and_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A region has lost its log, and the file to load it from has a bad line.

    The log names the file and the line; once the file is mended, the region is loaded.
    """
    monkeypatch.setattr(log_loader, "RETRY_S", 0.05)
    source = tmp_path / "backends.jsonl"
    source.write_text("{}\n")
    machines = started(tmp_path, f'backends_file = "{source}"\n')
    try:
        until(
            lambda: any(
                "not loaded: backends.jsonl:1: [bad-row]" in line for line in machines.log.lines
            )
        )
        source.write_text(json.dumps({"service": "pay", "targets": rows("p1")}) + "\n")
        leader = machines.leader()
        log = machines.machines[leader].logs["east"]
        assert machines.do(lambda: set(log.rows("pay") or ())) == {"p1"}
    finally:
        machines.close()
