"""Reads a pool's list of servers from a file, in the format of a complete discovery response."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from loadbalancer.config.node import Config
from loadbalancer.core import Listing, Update
from loadbalancer.faults import run_logged
from loadbalancer.sources.endpoint_list import EndpointList, ListError

POLL_INTERVAL_S = 0.5
MAX_FILE_BYTES = 16 << 20

PoolLogger = logging.Logger | logging.LoggerAdapter[logging.Logger]


class FileStamp(NamedTuple):
    """File attributes that change when a file is written or replaced."""

    modified_ns: int
    size: int
    inode: int


class FileMembers:
    """Reads the file whenever it changes; an invalid file leaves the list unchanged.

    A file should be replaced by a rename, which is atomic. A file that is written in place may be
    read when it is half written: it is then not valid JSON, is rejected, and is read again once it
    changes again.
    """

    stale_after_ns = 0  # never stale: a file that has not changed is still valid

    __slots__ = ("_handle", "_logger", "_on_update", "_path", "_stamp", "endpoint_list")

    def __init__(
        self,
        path: Path,
        config: Config,
        on_update: Callable[[Update, list[Listing], list[int]], None],
        logger: PoolLogger,
    ) -> None:
        self._path = path
        self._on_update = on_update
        self._stamp: FileStamp | None = None
        self._handle: asyncio.TimerHandle | None = None
        self._logger = logger
        self.endpoint_list = EndpointList(config)

    def load_configured(self, _raw: Any) -> list[Listing]:
        """Read the list from the file.

        Raises:
            ListError: the file's content is invalid.
            OSError: the file can't be read.
        """
        self._stamp = self._read_stamp()
        return self._read()[1]

    def watch(self) -> None:
        """Poll the file for changes from now on."""
        if self._handle is None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(POLL_INTERVAL_S, self._poll)

    def close(self) -> None:
        """Stop polling the file."""
        if self._handle is not None:
            self._handle.cancel()

    def _read_stamp(self) -> FileStamp:
        status = self._path.stat()
        return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)

    def _poll(self) -> None:
        self._handle = None
        try:
            stamp = self._read_stamp()
        except OSError:
            stamp = None  # a removed file leaves the list unchanged until there is a new one
        if stamp is not None and stamp != self._stamp:
            # An exception of the list's receiver is logged, and the file is read again at the next
            # poll. If it ended the polling, all later changes of the file would be missed.
            is_applied = run_logged(self._update)
            self._stamp = stamp if is_applied else None
        self.watch()

    def _update(self) -> None:
        try:
            update, rows, stale = self._read()
        except (ListError, OSError) as err:
            self._logger.info("%s not used: %s", self._path.name, err)
            self._on_update(Update.FAILED, [], [])
            return
        self._on_update(update, rows, stale)

    def _read(self) -> tuple[Update, list[Listing], list[int]]:
        with self._path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ListError(f"more than {MAX_FILE_BYTES} bytes")
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise ListError(f"not valid JSON: {err}") from None
        if not isinstance(raw, dict):
            raise ListError("not a JSON object")
        update, rows, endpoints = self.endpoint_list.decode(raw | {"rev": 1, "all": True})
        return update, rows, self.endpoint_list.apply(1, update, rows, endpoints)
