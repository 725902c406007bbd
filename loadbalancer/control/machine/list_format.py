"""Encodes and decodes updates in the format of the platform's endpoint list.

The platform's list has the form {"rev", "all", "targets"}. A response to a subscriber extends it
with further keys: `changes` says to which service each run of targets belongs, and others carry
the node's assignment. A reader of the plain list ignores them.

The keys and their meaning:

    rev, from             versions of `Update.position` and `Delta.base`
    all                   whether the update is a `Snapshot`
    changes               for each change: service, version, number of rows, number of removed
                          backends, `deleted`, `complete`
    wanted, releasable,
    generation            a `NodeAssignment`
    elsewhere, address    the machine to poll instead, and its address
    pause_ms              the delay before the next poll
    state "leaving"       a backend that drains; "left": one that was removed
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.core.assignment.model import Change, Delta, Position, Row, Snapshot, Update
from loadbalancer.core.errors import ProtocolError
from loadbalancer.sources.watchers import removed_row

STATE_DRAINING = "leaving"
STATE_REMOVED = "left"


class ListFormatError(ProtocolError, ValueError):
    """A response that can't be decoded; the text says why."""


@dataclass(frozen=True, slots=True)
class NodeAssignment:
    """The services that a node is to hold and those it may release, sent along with updates."""

    wanted: Mapping[str, str] = field(default_factory=dict)  # services to hold, with their regions
    releasable: frozenset[str] = frozenset()
    generation: int = 0  # the node repeats it in its next reports


@dataclass(frozen=True, slots=True)
class PollResponse:
    """One decoded response of a control machine to a poll."""

    position: Position
    update: Update | None = None
    assignment: NodeAssignment | None = None
    redirect_machine: str = ""  # the machine to poll instead
    redirect_address: str = ""  # its address for subscribers
    pause_ms: int = 0  # delay before the next poll


def canonical_json(target: Mapping[str, Any]) -> str:
    """Encode a target as canonical JSON, so that equal targets give equal texts."""
    return json.dumps(target, separators=(",", ":"), sort_keys=True)


def row_from_target(target: Any) -> Row:
    """Convert a decoded target to a row of the log.

    Raises:
        ListFormatError: the value is not a target.
    """
    if not isinstance(target, dict):
        raise ListFormatError("a target is not an object")
    uid = target.get("uid")
    if not isinstance(uid, str) or not uid:
        raise ListFormatError(f"{uid!r} is not a uid")
    return Row(uid, canonical_json(target), target.get("state") == STATE_DRAINING)


def _removed_target(uid: str) -> str:
    return canonical_json({"uid": uid, "state": STATE_REMOVED})


def encode_plain_list(
    version: int, complete: bool, rows: Iterable[Row], removed: Iterable[str]
) -> bytes:
    """Encode a plain endpoint list, for a node that is assigned no services."""
    targets = [row.body for row in rows]
    targets += [canonical_json(removed_row(uid)) for uid in removed]
    return _head(version, complete, targets).encode() + b"}"


def _head(version: int, complete: bool, targets: Iterable[str]) -> str:
    """Encode the keys of the plain list, without the closing brace, so that keys can follow."""
    flag = "true" if complete else "false"
    return f'{{"rev":{version},"all":{flag},"targets":[{",".join(targets)}]'


def encode(update: Update, assignment: NodeAssignment | None) -> bytes:
    """Encode an update, with the node's assignment if there is one to send."""
    targets: list[str] = []
    changes: list[list[Any]] = []
    for change in _changes(update):
        targets += [row.body for row in change.rows]
        targets += [_removed_target(uid) for uid in change.removed]
        changes.append(
            [
                change.service, version_of(change.position), len(change.rows),
                len(change.removed), change.deleted, change.complete,
            ]
        )  # fmt: skip
    extension: dict[str, Any] = {"region": update.region, "changes": changes}
    if isinstance(update, Delta):
        extension["from"] = version_of(update.base)
    if assignment is not None:
        extension |= _assignment_keys(assignment)
    text = json.dumps(extension, separators=(",", ":"))
    head = _head(version_of(update.position), isinstance(update, Snapshot), targets)
    return (head + "," + text[1:]).encode()  # drops the opening brace of `text`


def _changes(update: Update) -> Iterable[Change]:
    if isinstance(update, Delta):
        return update.changes
    return [
        Change(update.position, service, tuple(rows.values()), complete=True)
        for service, rows in update.services.items()
    ]


def encode_empty(position: Position, **extra: Any) -> bytes:
    """Encode a response without an update: the caller's own version, and further keys."""
    raw: dict[str, Any] = {"rev": version_of(position), "all": False, "targets": []}
    return json.dumps(raw | extra, separators=(",", ":")).encode()


def encode_assignment(position: Position, assignment: NodeAssignment) -> bytes:
    """Encode a response without an update, for a node whose assignment has changed."""
    return encode_empty(position, **_assignment_keys(assignment))


def _assignment_keys(assignment: NodeAssignment) -> dict[str, Any]:
    by_region: dict[str, list[str]] = {}
    for service, region in sorted(assignment.wanted.items()):
        by_region.setdefault(region, []).append(service)
    return {
        "wanted": by_region,
        "releasable": sorted(assignment.releasable),
        "generation": assignment.generation,
    }


def decode(body: bytes, max_services: int) -> PollResponse:
    """Decode a control machine's response to a poll.

    Raises:
        ListFormatError: the response is invalid, or its assignment names more than `max_services`
            services.
    """
    try:
        raw = _object(json.loads(body))
        pause = raw.get("pause_ms", 0)
        return PollResponse(
            position_of(_non_negative(raw["rev"])),
            _decode_update(raw) if "changes" in raw else None,
            _decode_assignment(raw, max_services) if "wanted" in raw else None,
            _text(raw.get("elsewhere", "")),
            _text(raw.get("address", "")),
            pause if type(pause) is int and pause >= 0 else 0,
        )
    except ListFormatError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as err:
        raise ListFormatError(f"{type(err).__name__}: {err}") from None


def _decode_update(raw: Mapping[str, Any]) -> Update:
    position, targets = position_of(_non_negative(raw["rev"])), raw["targets"]
    changes: list[Change] = []
    start = 0
    for service, version, row_count, removed_count, deleted, complete in raw["changes"]:
        rows_end = start + _non_negative(row_count)
        end = rows_end + _non_negative(removed_count)
        changes.append(
            Change(
                position_of(_non_negative(version)),
                _text(service),
                tuple([row_from_target(target) for target in targets[start:rows_end]]),
                tuple([_text(target["uid"]) for target in targets[rows_end:end]]),
                deleted is True,
                complete is True,
            )
        )
        start = end
    if start != len(targets):
        raise ListFormatError("the number of targets does not match the changes")
    region = _text(raw["region"])
    if raw["all"] is not True:
        base = position_of(_non_negative(raw["from"]))
        return Delta(region, base, position, tuple(changes))
    services = {change.service: {row.uid: row for row in change.rows} for change in changes}
    return Snapshot(region, position, services)


def _decode_assignment(raw: Mapping[str, Any], max_services: int) -> NodeAssignment:
    wanted = {
        _text(service): _text(region)
        for region, services in raw["wanted"].items()
        for service in services
    }
    releasable = frozenset(_text(service) for service in raw["releasable"])
    if len(wanted) + len(releasable) > max_services:
        raise ListFormatError(f"the assignment names more than {max_services} services")
    return NodeAssignment(wanted, releasable, _non_negative(raw["generation"]))


def _object(value: Any) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise ListFormatError("not a JSON object")
    return value


def _non_negative(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ListFormatError(f"{value!r} is not a non-negative integer")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ListFormatError(f"{value!r} is not a string")
    return value
