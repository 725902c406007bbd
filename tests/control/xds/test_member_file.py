"""Tests that a pool's list file is still followed after an exception of the list's receiver."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from pathlib import Path

import pytest

from loadbalancer.config.node import Config, load
from loadbalancer.control.xds import member_file
from loadbalancer.control.xds.member_file import FileMembers
from loadbalancer.core import Listing, Update
from tests.harness import LIMIT, config, roster, target


class FaultyReceiver:
    """Raises an exception for the first updates, and records the later ones."""

    def __init__(self, faults: int) -> None:
        self.faults = faults
        self.rows: list[list[Listing]] = []

    def on_update(self, _update: Update, rows: list[Listing], _stale: list[int]) -> None:
        if self.faults:
            self.faults -= 1
            raise KeyError("a fault of the receiver")
        self.rows.append(rows)


@pytest.fixture
def node_config(tmp_path: Path) -> Config:
    return load(config(tmp_path, roster(), 1))


def replace_file(path: Path, servers: int) -> None:
    """Replace the file with a list of `servers` servers."""
    written = path.with_suffix(".new")
    written.write_text(json.dumps(roster(*(target(f"s-{n}", n) for n in range(1, servers + 1)))))
    os.replace(written, path)


def test_a_file_is_followed_after_an_exception_of_its_receiver(
    tmp_path: Path, node_config: Config, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The receiver of a changed list raises an exception once. If that ended the polling, this
    change and all later ones would be missed until a restart of the control service.
    """
    monkeypatch.setattr(member_file, "POLL_INTERVAL_S", 0.001)
    path = tmp_path / "members.json"
    replace_file(path, 1)
    receiver = FaultyReceiver(1)
    members = FileMembers(path, node_config, receiver.on_update, logging.getLogger("test"))
    members.load_configured(None)

    async def change_twice() -> None:
        members.watch()
        for servers in (2, 3):
            replace_file(path, servers)
            await asyncio.wait_for(until_received(receiver, servers), LIMIT)
        members.close()

    asyncio.run(change_twice())


async def until_received(receiver: FaultyReceiver, servers: int) -> None:
    """Wait until the receiver's last list has `servers` servers."""
    while not receiver.rows or len(receiver.rows[-1]) != servers:
        await asyncio.sleep(0.001)
