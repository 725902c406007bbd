"""Changes handed in by operators, and each one's answer once it is accepted."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.control.machine.list_form import ListFormError, row_of
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import Change, Position, Row
from loadbalancer.core.errors import ProtocolError
from loadbalancer.core.replicated_log.replication import Outcome, Proposal, Replica

ACCEPT_S = 5.0  # for a majority to hold a change
MOST_CHANGES = 256  # in one call
MOST_ROWS = 100_000  # of one change

Reply = Callable[[int, bytes], None]


class BadChangeError(ProtocolError, ValueError):
    """A change that can't be used; the text names the place and the rule."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """One change as it was handed in."""

    service: str
    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    deleted: bool


@dataclass(slots=True)
class _Call:
    """One call, and the positions of its changes: None until accepted."""

    reply: Reply
    accepted: dict[Position, int | None] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class Changes:
    """Hands changes to the replica, and answers when they are accepted."""

    def __init__(self, replica: Replica, region: str, homes: Mapping[str, str]) -> None:
        self._replica = replica
        self._region = region
        self._homes = homes  # each service's region
        self._open: dict[Position, _Call] = {}

    def hand_in(self, body: bytes, reply: Reply) -> None:
        """Propose them; `reply` is called once, with 200 and their versions when accepted.

        400: it can't be used. 409: another machine, or another region's, is to be asked. 503: too
        many wait. 504: whether it is accepted is not known; it may be handed in again.
        """
        try:
            wanted = self._decode(body)
        except BadChangeError as err:
            reply(400, str(err).encode())
            return
        call = _Call(reply)
        for one in wanted:
            proposal = self._replica.propose(
                one.service, one.rows, one.removed, one.deleted, self._homes[one.service]
            )
            if proposal.position is None:
                self._refuse(call, proposal)
                return
            call.accepted[proposal.position] = None
            self._open[proposal.position] = call
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(ACCEPT_S, self._end, call, 504, b"not known to be accepted")

    def on_committed(self, region: str, change: Change) -> None:
        """A change is in the log of accepted ones."""
        if region != self._region:
            return
        call = self._open.get(change.position)
        if call is None:
            return
        call.accepted[change.position] = time.monotonic_ns()
        if None not in call.accepted.values():
            rows = [
                {"version": version_of(position), "accepted_ns": at}
                for position, at in call.accepted.items()
            ]
            self._end(call, 200, json.dumps(rows).encode())

    def _refuse(self, call: _Call, proposal: Proposal) -> None:
        """Some of a call's changes may have been proposed all the same: rows are whole values."""
        if proposal.outcome is Outcome.BUSY:
            self._end(call, 503, b"[busy] too many changes wait for a majority")
        else:
            words = {"rule": proposal.outcome.value, "leader": proposal.leader}
            self._end(call, 409, json.dumps(words).encode())

    def _end(self, call: _Call, status: int, body: bytes) -> None:
        if call.timer is not None:
            call.timer.cancel()
        for position in call.accepted:
            self._open.pop(position, None)
        call.reply(status, body)

    def _decode(self, body: bytes) -> list[Wanted]:
        try:
            raw = json.loads(body)
        except (ValueError, RecursionError):
            raise BadChangeError("body: [syntax] is no JSON; write an array of changes") from None
        if not isinstance(raw, list) or not 1 <= len(raw) <= MOST_CHANGES:
            raise BadChangeError(f"body: [size] not 1 to {MOST_CHANGES} changes; write an array")
        return [self._wanted(f"change {place}", one) for place, one in enumerate(raw)]

    def _wanted(self, place: str, raw: Any) -> Wanted:
        if not isinstance(raw, dict):
            raise BadChangeError(f"{place}: [syntax] is no object; write service, rows and removed")
        unknown = raw.keys() - {"service", "rows", "removed", "deleted"}
        if unknown:
            raise BadChangeError(f"{place}: [unknown-key] no key {min(unknown)!r}")
        service = raw.get("service")
        if not isinstance(service, str) or service not in self._homes:
            raise BadChangeError(f"{place}: [unknown-service] no service {str(service)[:64]!r}")
        rows, removed = raw.get("rows", []), raw.get("removed", [])
        if not isinstance(rows, list) or not isinstance(removed, list):
            raise BadChangeError(f"{place}: [bad-value] rows and removed are arrays")
        if len(rows) + len(removed) > MOST_ROWS:
            raise BadChangeError(f"{place}: [size] over {MOST_ROWS} rows")
        if not all(isinstance(uid, str) and uid for uid in removed):
            raise BadChangeError(f"{place}: [bad-value] removed holds no uids")
        try:
            found = tuple([row_of(row) for row in rows])
        except ListFormError as err:
            raise BadChangeError(f"{place}: [bad-value] {err}") from None
        return Wanted(service, found, tuple(removed), raw.get("deleted") is True)
