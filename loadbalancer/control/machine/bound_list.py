"""The endpoint list of one service on a bound listener, for nodes that are assigned no services.

Such a node uses the bound listener's address as its `PROXY_DISCOVERY`.
"""

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
    """Serves one service's backends as a plain endpoint list, from the region's committed log."""

    def __init__(self, log: ChangeLog, service: str, max_watchers: int) -> None:
        self.max_connections = max_watchers
        self.connections = 0
        self.service = service
        self.region = log.region
        self._log = log
        self._pending: LongPolls[int] = LongPolls(self._answer_pending)  # version of each poller

    # Called by connections.

    def ready(self) -> bool:
        """Return whether the log has been received; an empty list would empty the node's pool."""
        return self._log.position > START

    def is_waiting(self, caller: Watcher) -> bool:
        """Return whether the connection's last poll is still unanswered."""
        return caller in self._pending

    def cancel(self, caller: Watcher) -> None:
        """Drop the connection's pending poll without an answer."""
        self._pending.pop(caller)

    def on_list_request(
        self,
        watcher: Watcher,
        since: int,
        hold_s: float,
        query: Query,  # noqa: ARG002 - part of `watchers.ListHost`; this list has one service
    ) -> None:
        """Handle a poll.

        `since` is the version that the node has, 0 for none. The response may be delayed by up to
        `hold_s` seconds.
        """
        try:
            position = position_of(since)
        except InvalidInputError as err:
            watcher.reply(HTTPStatus.BAD_REQUEST, str(err).encode())
            return
        if position > self._log.position:
            watcher.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"behind the version asked from")
        elif hold_s > 0 and since and self._unchanged(since):
            self._pending.add(watcher, since, hold_s)
        else:
            watcher.reply(HTTPStatus.OK, self._answer(since))

    # Called by the control machine.

    def on_change(self) -> None:
        """Answer all pending polls after a change of the service."""
        for watcher in self._pending:
            # An exception must not keep the others from their answers. The failed connection is
            # closed, so its node polls again on a new one.
            if not run_logged(self._answer_pending, watcher):
                watcher.abort()

    def _answer_pending(self, watcher: Watcher) -> None:
        since = self._pending.pop(watcher)
        if since is not None:
            watcher.reply(HTTPStatus.OK, self._answer(since))

    def _unchanged(self, since: int) -> bool:
        delta = self._log.delta_since(position_of(since), (self.service,))
        return delta is not None and not delta.changes

    def _answer(self, since: int) -> bytes:
        """Encode the changes since a version, or the complete list."""
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
