"""Changes that operators submit, and each call's answer once its changes are committed."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from loadbalancer.control.machine.list_format import ListFormatError, row_from_target
from loadbalancer.control.machine.operator_calls import Reply
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import Change, Position, Row
from loadbalancer.core.errors import ProtocolError
from loadbalancer.core.replicated_log.replication import Proposal, ProposalOutcome, Replica

COMMIT_TIMEOUT_S = 5.0
MAX_CHANGES = 256  # in one call
MAX_ROWS = 100_000  # of one change, removed ones included
MAX_QUOTED = 64  # characters of a wrong value that an answer repeats
KEYS = frozenset({"service", "rows", "removed", "deleted"})


class BadChangeError(ProtocolError, ValueError):
    """A change that can't be used; the text names the place and the rule."""


@dataclass(frozen=True, slots=True)
class SubmittedChange:
    """One change as it was submitted."""

    service: str
    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    deleted: bool


@dataclass(slots=True)
class _Submission:
    """One call, and the time at which each of its changes was committed; None until then."""

    reply: Reply
    committed_ns: dict[Position, int | None] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class ChangeSubmissions:
    """Proposes submitted changes to the replica, and answers when they are committed."""

    def __init__(self, replica: Replica, region: str, homes: Mapping[str, str]) -> None:
        """`homes` gives each service's region."""
        self._replica = replica
        self._region = region
        self._homes = homes
        self._pending: dict[Position, _Submission] = {}

    def submit(self, body: bytes, reply: Reply) -> None:
        """Propose a call's changes.

        `reply` is called once: 200 with the changes' versions when they are committed; 400 where
        the body can't be used; 409 where another machine is to be called; 503 where too many
        changes wait; 504 where it is not known whether they are committed, and the call may be
        repeated.
        """
        try:
            changes = decode_changes(body, self._homes)
        except BadChangeError as err:
            reply(HTTPStatus.BAD_REQUEST, str(err).encode())
            return
        submission = _Submission(reply)
        for change in changes:
            proposal = self._replica.propose(
                change.service,
                change.rows,
                change.removed,
                change.deleted,
                self._homes[change.service],
            )
            if proposal.position is None:
                self._refuse(submission, proposal)
                return
            submission.committed_ns[proposal.position] = None
            self._pending[proposal.position] = submission
        loop = asyncio.get_running_loop()
        submission.timer = loop.call_later(COMMIT_TIMEOUT_S, self._on_timeout, submission)

    def on_committed(self, region: str, change: Change) -> None:
        """A change is committed; its call is answered once all of its changes are."""
        if region != self._region:
            return
        submission = self._pending.get(change.position)
        if submission is None:
            return
        submission.committed_ns[change.position] = time.monotonic_ns()
        if None not in submission.committed_ns.values():
            rows = [
                {"version": version_of(position), "accepted_ns": committed_ns}
                for position, committed_ns in submission.committed_ns.items()
            ]
            self._finish(submission, HTTPStatus.OK, json.dumps(rows).encode())

    def _on_timeout(self, submission: _Submission) -> None:
        self._finish(submission, HTTPStatus.GATEWAY_TIMEOUT, b"not known to be accepted")

    def _refuse(self, submission: _Submission, proposal: Proposal) -> None:
        """Answer a call of which a change was refused.

        Those before it may be committed all the same. The call may be repeated: rows replace one
        another, so that a change committed twice has the effect of one.
        """
        if proposal.outcome is ProposalOutcome.BUSY:
            text = b"[busy] too many changes wait for a majority"
            self._finish(submission, HTTPStatus.SERVICE_UNAVAILABLE, text)
        else:
            answer = {"rule": proposal.outcome.value, "leader": proposal.leader}
            self._finish(submission, HTTPStatus.CONFLICT, json.dumps(answer).encode())

    def _finish(self, submission: _Submission, status: int, body: bytes) -> None:
        if submission.timer is not None:
            submission.timer.cancel()
        for position in submission.committed_ns:
            self._pending.pop(position, None)
        submission.reply(status, body)


def decode_changes(body: bytes, services: Mapping[str, str]) -> list[SubmittedChange]:
    """The changes in a call's body, a JSON array, each of one of these services.

    Raises:
        BadChangeError: the body or one of its changes can't be used.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        raise BadChangeError("body: [syntax] is no JSON; write an array of changes") from None
    if not isinstance(raw, list) or not 1 <= len(raw) <= MAX_CHANGES:
        raise BadChangeError(f"body: [size] not 1 to {MAX_CHANGES} changes; write an array")
    return [_decode_change(f"change {index}", one, services) for index, one in enumerate(raw)]


def _decode_change(place: str, raw: Any, services: Mapping[str, str]) -> SubmittedChange:
    if not isinstance(raw, dict):
        raise BadChangeError(f"{place}: [syntax] is no object; write service, rows and removed")
    unknown = raw.keys() - KEYS
    if unknown:
        raise BadChangeError(f"{place}: [unknown-key] no key {min(unknown)!r}")
    service = raw.get("service")
    if not isinstance(service, str) or service not in services:
        quoted = str(service)[:MAX_QUOTED]
        raise BadChangeError(f"{place}: [unknown-service] no service {quoted!r}")
    rows, removed = raw.get("rows", []), raw.get("removed", [])
    _check_rows(place, rows, removed)
    try:
        decoded = tuple([row_from_target(row) for row in rows])
    except ListFormatError as err:
        raise BadChangeError(f"{place}: [bad-value] {err}") from None
    return SubmittedChange(service, decoded, tuple(removed), raw.get("deleted") is True)


def _check_rows(place: str, rows: Any, removed: Any) -> None:
    if not isinstance(rows, list) or not isinstance(removed, list):
        raise BadChangeError(f"{place}: [bad-value] rows and removed are arrays")
    if len(rows) + len(removed) > MAX_ROWS:
        raise BadChangeError(f"{place}: [size] over {MAX_ROWS} rows")
    if not all(isinstance(uid, str) and uid for uid in removed):
        raise BadChangeError(f"{place}: [bad-value] removed holds no uids")
