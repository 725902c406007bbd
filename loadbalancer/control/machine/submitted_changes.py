"""Changes that operators submit, and the response to each call once its changes are committed."""

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
MAX_ROWS = 100_000  # in one change, including removed ones
MAX_QUOTED = 64  # characters of an invalid value that an error message repeats
KEYS = frozenset({"service", "rows", "removed", "deleted"})


class BadChangeError(ProtocolError, ValueError):
    """A change that can't be used; the text names its position and the violated rule."""


@dataclass(frozen=True, slots=True)
class SubmittedChange:
    """One decoded change of a call, before it is proposed."""

    service: str
    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    deleted: bool


@dataclass(slots=True)
class _Submission:
    """One pending call, and when each of its changes was committed (None until then)."""

    reply: Reply
    committed_ns: dict[Position, int | None] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class ChangeSubmissions:
    """Proposes submitted changes to the replica, and responds once they are committed."""

    def __init__(self, replica: Replica, region: str, homes: Mapping[str, str]) -> None:
        """`homes` maps each service to its home region."""
        self._replica = replica
        self._region = region
        self._homes = homes
        self._pending: dict[Position, _Submission] = {}

    def submit(self, body: bytes, reply: Reply) -> None:
        """Propose the changes of a call.

        `reply` is called exactly once, with one of these HTTP statuses:

        - 200 with the versions of the changes, once all of them are committed;
        - 400 if the body is invalid;
        - 409 if this machine can't accept the changes; the body names the leader to call instead;
        - 503 if too many changes wait to be committed;
        - 504 if the changes were not committed in time. They may still be committed later, and
          the call may be repeated.
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
        """Handle a committed change; its call is answered once all its changes are committed."""
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
        """Answer a call one of whose changes the replica has refused.

        The call's earlier changes may still be committed. The operator may repeat the call, because
        changes are idempotent: a row replaces the previous row of the same uid.
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
    """Decode a call's body, a JSON array of changes to any of `services`.

    Raises:
        BadChangeError: the body or one of its changes is invalid.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        raise BadChangeError("body: [syntax] not valid JSON; send an array of changes") from None
    if not isinstance(raw, list) or not 1 <= len(raw) <= MAX_CHANGES:
        raise BadChangeError(f"body: [size] not an array of 1 to {MAX_CHANGES} changes")
    return [_decode_change(f"change {index}", one, services) for index, one in enumerate(raw)]


def _decode_change(location: str, raw: Any, services: Mapping[str, str]) -> SubmittedChange:
    if not isinstance(raw, dict):
        raise BadChangeError(
            f"{location}: [syntax] not an object; write one with service, rows and removed"
        )
    unknown = raw.keys() - KEYS
    if unknown:
        raise BadChangeError(f"{location}: [unknown-key] no key {min(unknown)!r}")
    service = raw.get("service")
    if not isinstance(service, str) or service not in services:
        quoted = str(service)[:MAX_QUOTED]
        raise BadChangeError(f"{location}: [unknown-service] no service {quoted!r}")
    rows, removed = raw.get("rows", []), raw.get("removed", [])
    _check_rows(location, rows, removed)
    try:
        decoded = tuple([row_from_target(row) for row in rows])
    except ListFormatError as err:
        raise BadChangeError(f"{location}: [bad-value] {err}") from None
    return SubmittedChange(service, decoded, tuple(removed), raw.get("deleted") is True)


def _check_rows(location: str, rows: Any, removed: Any) -> None:
    if not isinstance(rows, list) or not isinstance(removed, list):
        raise BadChangeError(f"{location}: [bad-value] rows and removed must be arrays")
    if len(rows) + len(removed) > MAX_ROWS:
        raise BadChangeError(f"{location}: [size] more than {MAX_ROWS} rows")
    if not all(isinstance(uid, str) and uid for uid in removed):
        raise BadChangeError(f"{location}: [bad-value] removed must contain non-empty uids only")
