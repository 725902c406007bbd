"""A list of one service, for a node that knows of no others: its `PROXY_DISCOVERY`."""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer.control.long_polls import LongPolls
from loadbalancer.control.machine.list_format import encode_plain_list
from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.core.assignment.model import START, InvalidInputError, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.faults import run_logged
from loadbalancer.sources.watchers import Query, Watcher


class BoundList:
    """The platform's list, with one service's backends, as of the region's accepted changes."""

    def __init__(self, log: ChangeLog, service: str, max_watchers: int) -> None:
        self.max_connections = max_watchers
        self.connections = 0
        self.service = service
        self.region = log.region
        self._log = log
        self._waiting: LongPolls[int] = LongPolls(self._answer_waiting)  # versions they have

    # ---- what a connection calls --------------------------------------------

    def ready(self) -> bool:
        """Whether there is a log: before, an empty list would empty the node's pool."""
        return self._log.position > START

    def is_waiting(self, caller: Watcher) -> bool:
        """Whether the connection's last poll has no answer yet."""
        return caller in self._waiting

    def cancel(self, caller: Watcher) -> None:
        """The connection's poll needs no answer any more."""
        self._waiting.take(caller)

    def on_list_request(
        self,
        watcher: Watcher,
        since: int,
        hold_s: float,
        query: Query,  # noqa: ARG002 - part of `watchers.ListHost`; this list has one service
    ) -> None:
        """A poll: the version that the node has, and for how many seconds it may wait."""
        try:
            position = position_of(since)
        except InvalidInputError as err:
            watcher.reply(HTTPStatus.BAD_REQUEST, str(err).encode())
            return
        if position > self._log.position:
            watcher.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"behind the version asked from")
        elif hold_s > 0 and since and self._unchanged(since):
            self._waiting.add(watcher, since, hold_s)
        else:
            watcher.reply(HTTPStatus.OK, self._answer(since))

    # ---- what the machine calls ---------------------------------------------

    def on_change(self) -> None:
        """The service has changed."""
        for watcher in self._waiting:
            # A fault at one costs no other's answer; its caller polls again on a new connection.
            if not run_logged(self._answer_waiting, watcher):
                watcher.abort()

    def _answer_waiting(self, watcher: Watcher) -> None:
        since = self._waiting.take(watcher)
        if since is not None:
            watcher.reply(HTTPStatus.OK, self._answer(since))

    def _unchanged(self, since: int) -> bool:
        delta = self._log.delta_since(position_of(since), (self.service,))
        return delta is not None and not delta.changes

    def _answer(self, since: int) -> bytes:
        """What changed since a version, or the complete list."""
        delta = self._log.delta_since(position_of(since), (self.service,)) if since else None
        version = version_of(self._log.position)
        if delta is None or any(change.complete or change.deleted for change in delta.changes):
            backends = self._log.rows(self.service) or {}
            return encode_plain_list(version, complete=True, rows=backends.values(), removed=())
        latest: dict[str, Row | None] = {}  # None for a removed backend
        for change in delta.changes:
            latest |= dict.fromkeys(change.removed)
            latest |= {row.uid: row for row in change.rows}
        removed = [uid for uid, row in latest.items() if row is None]
        rows = [row for row in latest.values() if row is not None]
        return encode_plain_list(version, complete=False, rows=rows, removed=removed)
