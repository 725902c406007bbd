"""An update in the list's own form, and back.

The platform's list answers {"rev", "all", "targets"}. A subscriber that names itself is given
keys beside these: `changes` says which service each run of targets belongs to, and what the
control machine wants of the node stands next to it. A reader of the plain list passes them over.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.core.assignment.model import Change, Delta, Position, Row, Snapshot, Update
from loadbalancer.core.errors import ProtocolError
from loadbalancer.sources.watchers import gone_row

LEAVING = "leaving"
GONE = "left"


class ListFormError(ProtocolError, ValueError):
    """An answer that is no update; the text says why."""


@dataclass(frozen=True, slots=True)
class NodeAssignment:
    """What a control machine wants of a node, beside an update."""

    wanted: Mapping[str, str] = field(default_factory=dict)  # services and their regions
    releasable: frozenset[str] = frozenset()
    generation: int = 0  # to be named with the next word on what is served


@dataclass(frozen=True, slots=True)
class PollResponse:
    """One whole answer of a control machine."""

    position: Position
    update: Update | None = None
    assignment: NodeAssignment | None = None
    redirect_machine: str = ""  # the machine to ask instead
    redirect_address: str = ""  # of that machine
    pause_ms: int = 0  # before the next question


def body_of(target: Mapping[str, Any]) -> str:
    """A target's canonical JSON: the same text wherever it is written."""
    return json.dumps(target, separators=(",", ":"), sort_keys=True)


def row_of(target: Any) -> Row:
    """A target as a row; ListFormError where it is none."""
    if not isinstance(target, dict):
        raise ListFormError("a target is no object")
    uid = target.get("uid")
    if not isinstance(uid, str) or not uid:
        raise ListFormError(f"{uid!r} is no uid")
    return Row(uid, body_of(target), target.get("state") == LEAVING)


def _gone(uid: str) -> str:
    return body_of({"uid": uid, "state": GONE})


def encode_plain_list(version: int, whole: bool, rows: Iterable[Row], gone: Iterable[str]) -> bytes:
    """The platform's own answer, for a node that knows of no services."""
    targets = [row.body for row in rows]
    targets += [body_of(gone_row(uid)) for uid in gone]
    return _head(version, whole, targets).encode() + b"}"


def _head(version: int, whole: bool, targets: Iterable[str]) -> str:
    all_ = "true" if whole else "false"
    return f'{{"rev":{version},"all":{all_},"targets":[{",".join(targets)}]'


def encode(update: Update, orders: NodeAssignment | None) -> bytes:
    """An update and what is wanted beside it."""
    whole = isinstance(update, Snapshot)
    targets: list[str] = []
    changes: list[list[Any]] = []
    for change in _changes(update):
        targets += [row.body for row in change.rows]
        targets += [_gone(uid) for uid in change.removed]
        changes.append(
            [
                change.service, version_of(change.position), len(change.rows),
                len(change.removed), change.deleted, change.complete,
            ]
        )  # fmt: skip
    more: dict[str, Any] = {"region": update.region, "changes": changes}
    if isinstance(update, Delta):
        more["from"] = version_of(update.base)
    if orders is not None:
        more |= _orders(orders)
    text = json.dumps(more, separators=(",", ":"))
    return (_head(version_of(update.position), whole, targets) + "," + text[1:]).encode()


def _changes(update: Update) -> Iterable[Change]:
    if isinstance(update, Delta):
        return update.changes
    return [
        Change(update.position, service, tuple(rows.values()), complete=True)
        for service, rows in update.services.items()
    ]


def encode_empty(position: Position, **more: Any) -> bytes:
    """An answer without an update: the caller's own version, and what it is to do."""
    rows: dict[str, Any] = {"rev": version_of(position), "all": False, "targets": []}
    return json.dumps(rows | more, separators=(",", ":")).encode()


def encode_assignment(position: Position, orders: NodeAssignment) -> bytes:
    """An answer without an update, for a node whose services have changed."""
    return encode_empty(position, **_orders(orders))


def _orders(orders: NodeAssignment) -> dict[str, Any]:
    by_region: dict[str, list[str]] = {}
    for service, region in sorted(orders.wanted.items()):
        by_region.setdefault(region, []).append(service)
    return {
        "wanted": by_region,
        "releasable": sorted(orders.releasable),
        "generation": orders.generation,
    }


def decode(body: bytes, most_services: int) -> PollResponse:
    """An answer; ListFormError where it is none or names more services than may be held."""
    try:
        raw = json.loads(body)
        if not isinstance(raw, dict):
            raise ListFormError("no object")
        pause = raw.get("pause_ms", 0)
        return PollResponse(
            position_of(_whole(raw["rev"])),
            _update(raw) if "changes" in raw else None,
            _orders_of(raw, most_services) if "wanted" in raw else None,
            _text(raw.get("elsewhere", "")),
            _text(raw.get("address", "")),
            pause if type(pause) is int and pause >= 0 else 0,
        )
    except ListFormError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as err:
        raise ListFormError(f"{type(err).__name__}: {err}") from None


def _update(raw: Mapping[str, Any]) -> Update:
    position, targets = position_of(_whole(raw["rev"])), raw["targets"]
    changes: list[Change] = []
    at = 0
    for service, version, rows, removed, deleted, whole in raw["changes"]:
        end = at + _whole(rows)
        gone = end + _whole(removed)
        changes.append(
            Change(
                position_of(_whole(version)),
                _text(service),
                tuple([row_of(target) for target in targets[at:end]]),
                tuple([_text(target["uid"]) for target in targets[end:gone]]),
                deleted is True,
                whole is True,
            )
        )
        at = gone
    if at != len(targets):
        raise ListFormError("targets and changes differ in number")
    region = _text(raw["region"])
    if raw["all"] is not True:
        return Delta(region, position_of(_whole(raw["from"])), position, tuple(changes))
    held = {change.service: {row.uid: row for row in change.rows} for change in changes}
    return Snapshot(region, position, held)


def _orders_of(raw: Mapping[str, Any], most_services: int) -> NodeAssignment:
    wanted = {
        _text(service): _text(region)
        for region, services in raw["wanted"].items()
        for service in services
    }
    releasable = frozenset(_text(service) for service in raw["releasable"])
    if len(wanted) + len(releasable) > most_services:
        raise ListFormError(f"names over {most_services} services")
    return NodeAssignment(wanted, releasable, _whole(raw["generation"]))


def _whole(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ListFormError(f"{value!r} is no whole number")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ListFormError(f"{value!r} is no text")
    return value


def names(words: Collection[str]) -> str:
    """Names for a question's query."""
    return ",".join(sorted(words))
