"""A pool's list of servers from a file, in the form of discovery's whole answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loadbalancer.config.node import Config
from loadbalancer.core import Listing, Update
from loadbalancer.sources.discovery import ListError, Roster

LOOK_S = 0.5  # how often a changed file is looked for
MAX_FILE = 16 << 20


class FileMembers:
    """Reads the file when it changes; one that can't be used leaves the list as it is.

    A file replaced by a rename is never seen half written. One written in place may
    be: what then is no JSON is refused, and read again once it changes again.
    """

    old_after = 0  # a file that has not changed is as good as ever

    __slots__ = ("_handle", "_path", "_stamp", "_told", "log", "roster")

    def __init__(
        self,
        path: Path,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
    ) -> None:
        self._path = path
        self._told = told
        self._stamp: tuple[int, int, int] | None = None
        self._handle: asyncio.TimerHandle | None = None
        self.log = log
        self.roster = Roster(config)

    def known(self, _raw: Any) -> list[Listing]:
        """The list as the file has it; ListError or OSError where it can't be used."""
        self._stamp = self._look()
        return self._read()[1]

    def watch(self) -> None:
        """Look for changes from now on."""
        if self._handle is None:
            self._handle = asyncio.get_running_loop().call_later(LOOK_S, self._again)

    def close(self) -> None:
        if self._handle is not None:
            self._handle.cancel()

    def _look(self) -> tuple[int, int, int]:
        found = self._path.stat()
        return found.st_mtime_ns, found.st_size, found.st_ino

    def _again(self) -> None:
        self._handle = None
        try:
            stamp = self._look()
        except OSError:
            stamp = None  # between a removal and the next one: the list stays
        if stamp is not None and stamp != self._stamp:
            self._stamp = stamp
            self._take()
        self.watch()

    def _take(self) -> None:
        try:
            update, rows, stale = self._read()
        except (ListError, OSError) as err:
            self.log(f"{self._path.name} not used: {err}")
            self._told(Update.FAILED, [], [])
            return
        self._told(update, rows, stale)

    def _read(self) -> tuple[Update, list[Listing], list[int]]:
        with open(self._path, "rb") as file:
            data = file.read(MAX_FILE + 1)
        if len(data) > MAX_FILE:
            raise ListError(f"over {MAX_FILE} bytes")
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise ListError(f"no JSON: {err}") from None
        if not isinstance(raw, dict):
            raise ListError("no JSON object")
        update, rows, endpoints = self.roster.read(raw | {"rev": 1, "all": True})
        return update, rows, self.roster.apply(1, update, rows, endpoints)
