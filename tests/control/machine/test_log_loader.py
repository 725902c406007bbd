"""Tests of reloading the log of a region that has lost it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from loadbalancer.control.machine import log_loader
from tests.control_machines import rows, started
from tests.harness import until


def test_an_invalid_source_is_logged_and_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file from which a lost log is reloaded has an invalid line.

    The process logs the file and the line, and loads the region once the file is corrected.
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


@pytest.mark.parametrize("is_needed", [True, False])
def test_a_source_is_read_once_and_loaded_only_if_still_needed(
    tmp_path: Path, is_needed: bool
) -> None:
    """While a leader reads the source, further ticks occur, and another leader may be elected."""
    replica: Any = mock.Mock()
    replica.needs_load.return_value = True
    loaded = mock.Mock()
    source = tmp_path / "backends.jsonl"
    source.write_text(json.dumps({"service": "pay", "targets": rows("p1")}) + "\n")

    async def scenario() -> None:
        loader = log_loader.LogLoader(replica, "east", ["pay"], source, loaded)
        for _ in range(3):
            loader.start_if_needed()
        task = loader._task
        assert task is not None
        await asyncio.sleep(0)
        replica.needs_load.return_value = is_needed
        loader.start_if_needed()
        await task

    asyncio.run(scenario())
    assert replica.load.call_count == int(is_needed)
    assert loaded.call_count == int(is_needed)
