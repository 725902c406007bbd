"""A list of one service, for a node that knows of no others: its `PROXY_DISCOVERY`."""

from __future__ import annotations

import asyncio

from loadbalancer.control.machine.list_form import encode_plain_list
from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.core.assignment.model import START, InvalidInputError, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.sources.watchers import Query, Watcher


class BoundList:
    """The platform's list, with one service's backends, as of the region's accepted changes."""

    def __init__(self, log: ChangeLog, service: str, most_watchers: int) -> None:
        self.most_watchers = most_watchers
        self.connections = 0
        self.service = service
        self.region = log.region
        self._log = log
        self._waiting: dict[Watcher, tuple[int, asyncio.TimerHandle]] = {}

    def ready(self) -> bool:
        """There is a log: before, an empty list would empty the node's pool."""
        return self._log.position > START

    def waits(self, caller: Watcher) -> bool:
        return caller in self._waiting

    def forget(self, caller: Watcher) -> None:
        found = self._waiting.pop(caller, None)
        if found is not None:
            found[1].cancel()

    def asked(self, watcher: Watcher, since: int, hold: float, query: Query) -> None:
        try:
            position = position_of(since)
        except InvalidInputError as err:
            watcher.reply(400, str(err).encode())
            return
        if position > self._log.position:
            watcher.reply(503, b"behind the version asked from")
        elif hold > 0 and since and self._unchanged(since):
            loop = asyncio.get_running_loop()
            self._waiting[watcher] = (since, loop.call_later(hold, self._release, watcher))
        else:
            watcher.reply(200, self._answer(since))

    def on_change(self) -> None:
        """The service has changed."""
        for watcher in [*self._waiting]:
            self._release(watcher)

    def _release(self, watcher: Watcher) -> None:
        found = self._waiting.pop(watcher, None)
        if found is not None:
            found[1].cancel()
            watcher.reply(200, self._answer(found[0]))

    def _unchanged(self, since: int) -> bool:
        delta = self._log.since(position_of(since), (self.service,))
        return delta is not None and not delta.changes

    def _answer(self, since: int) -> bytes:
        """What changed since a version, or the whole list."""
        delta = self._log.since(position_of(since), (self.service,)) if since else None
        version = version_of(self._log.position)
        if delta is None or any(change.complete or change.deleted for change in delta.changes):
            rows = self._log.rows(self.service) or {}
            return encode_plain_list(version, True, rows.values(), ())
        latest: dict[str, Row | None] = {}
        for change in delta.changes:
            latest |= dict.fromkeys(change.removed)
            latest |= {row.uid: row for row in change.rows}
        gone = [uid for uid, row in latest.items() if row is None]
        return encode_plain_list(version, False, [row for row in latest.values() if row], gone)
