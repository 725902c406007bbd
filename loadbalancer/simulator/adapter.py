"""The bench's wire: frames in, events to one Balancer per instance, actions out.

Nothing is decided here. A frame is decoded, each event is handed to the
instance it names, and what that instance's Balancer calls for is packed into
the reply in the order of the calls.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import (
    Effect,
    Listing,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)
from loadbalancer.core.errors import ProtocolError

HEAD = struct.Struct(">IIIQ")
REPLY = struct.Struct(">III")
ENTRY = struct.Struct(">HBIBHQf")

EV_TIMER = struct.Struct(">BIQ")
EV_HELLO = struct.Struct(">BIQI")
EV_MEMBERS = struct.Struct(">BIBIH")
EV_STOP = struct.Struct(">BI")
EV_LEFT = struct.Struct(">BII")
EV_STARTED = struct.Struct(">BIIHIQ")
EV_RESOLVED = struct.Struct(">BIIIBHQBB")
EV_CATALOG = struct.Struct(">BHI")
EV_ACCEPT = struct.Struct(">BIIHHQQQB")
EV_PROBED = struct.Struct(">BIIQBB")
EV_NOTE = struct.Struct(">BIIH")

SUBMIT = struct.Struct(">BIIQI").pack
TURN_AWAY = struct.Struct(">BIIQ").pack
DROP = struct.Struct(">BII").pack
WITHDRAW = struct.Struct(">BIIH").pack
SCHEDULE = struct.Struct(">BIQQ").pack
CHECK = struct.Struct(">BII").pack
TEXT = struct.Struct(">BIH").pack
WATCH = struct.Struct(">BIB").pack

HINT_VALID = 1
CLIENT_RETRY = 2

EFFECTS = {"pure": Effect.PURE, "token": Effect.TOKEN, "side_effect": Effect.SIDE_EFFECT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class WireError(ProtocolError):
    """The input is not what the wire describes; the text says where."""


def settings_from_json(text: bytes) -> Settings:
    """Turn the wire's settings object into Settings; unknown keys are skipped."""
    try:
        raw = json.loads(text)
    except ValueError as err:
        raise WireError(f"settings are not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise WireError("settings are not a JSON object")
    try:
        return _settings(without_nulls(raw))
    except KeyError as err:
        raise WireError(f"settings lack {err.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as err:
        raise WireError(f"settings hold an unusable value: {err}") from None


def without_nulls(raw: dict[str, Any]) -> dict[str, Any]:
    """The same without keys whose value is null: absent, as the wire's page has it."""

    def clean(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: clean(inner) for key, inner in value.items() if inner is not None}
        return [clean(inner) for inner in value] if isinstance(value, list) else value

    return {key: clean(value) for key, value in raw.items() if value is not None}


def _settings(raw: dict[str, Any]) -> Settings:
    rules, limits = raw["rules"], raw.get("limits", {})
    goal, prices = raw.get("goal", {}), raw.get("prices", {})
    classes = tuple(
        RequestClass(
            name=str(c.get("name", i)),
            latency_objective=int(c["target"]),
            deadline=int(c["deadline"]),
            effect=EFFECTS[c["effect"]],
            scope=SCOPES[c.get("dedup_scope", "all")],
            repeat_window=int(c.get("repeat_window", 0)),
            priority_weight=float(c.get("credit", 1.0)),
            late_weight=float(c.get("late_worth", 0.0)),
            stream=bool(c.get("stream", False)),
            objective_stretch=float(c.get("aim_stretch", 0.0)),
        )
        for i, c in enumerate(raw["classes"])
    )
    tenants = tuple(
        Tenant(
            name=str(t.get("name", i)),
            portion=float(t.get("portion", 1.0)),
            quota_per_s=float(t.get("quota_per_s", 0.0)),
        )
        for i, t in enumerate(raw.get("realms", []))
    )
    info = raw.get("load_info", {})
    return Settings(
        node=int(raw.get("me", 0)),
        nodes=int(raw["balancers"]),
        zone=int(raw.get("my_zone", 0)),
        zones=max(1, len(raw.get("areas", []))),
        classes=classes,
        tenants=tenants,
        load_columns=tuple(info.get("columns", ())) if info.get("how") != "off" else (),
        poll=raw.get("registry_mode") == "ask",
        poll_within=int(rules.get("ask_within", 10_000_000_000)),
        drain_grace=int(rules.get("drain_grace", 0)),
        cold_from=float(rules.get("cold_from", 0.1)),
        cold=int(rules.get("cold", 0)),
        fall_multiple=float(rules.get("fall_multiple", 1.0)),
        fall=int(rules.get("fall", 1_000_000_000)),
        answer_slack=int(rules.get("grace_to_answer", 0)),
        max_attempts=int(limits.get("max_attempts", 1)),
        hedging=bool(limits.get("second_copies", False)),
        can_cancel=bool(limits.get("cancelling", False)),
        can_probe=bool(limits.get("probes", False)),
        marks_retry=bool(raw.get("clients", {}).get("marks_retry", False)),
        max_retry_after=(int(limits.get("max_retry_after", 0)) if limits.get("retry_after") else 0),
        connect_timeout=int(limits.get("dial_timeout", 250_000_000)),
        tick=int(raw.get("tick", 1_000_000)),
        worst_class=float(goal.get("worst_class", 0.0)),
        cross_zone_price=float(prices.get("cross_zone", 0.0)),
        rated=raw.get("weights", "off") in ("nominal", "rough"),
    )


class Node:
    """Actions of one instance: packs each call into the reply being built."""

    __slots__ = ("balancer", "me", "out")

    def __init__(self, me: int, out: list[bytes]) -> None:
        self.me = me
        self.out = out
        self.balancer: Balancer | None = None

    def send(self, request: int, backend: int, timeout: int) -> None:
        self.out.append(SUBMIT(16, self.me, request, timeout, backend))

    def refuse(self, request: int, retry_after: int) -> None:
        self.out.append(TURN_AWAY(17, self.me, request, retry_after))

    def fail(self, request: int) -> None:
        self.out.append(DROP(18, self.me, request))

    def cancel(self, request: int, attempt: int) -> None:
        self.out.append(WITHDRAW(19, self.me, request, attempt))

    def set_timer(self, token: int, due: int) -> None:
        self.out.append(SCHEDULE(20, self.me, token, due))

    def probe(self, backend: int) -> None:
        self.out.append(CHECK(21, self.me, backend))

    def watch(self) -> None:
        self.out.append(WATCH(26, self.me, 1))

    def log(self, text: str) -> None:
        data = text.encode()[:500]
        self.out.append(TEXT(24, self.me, len(data)) + data)

    def fault(self, text: str) -> None:
        data = text.encode()[:500]
        self.out.append(TEXT(25, self.me, len(data)) + data)


class Drill:
    """All instances of one process, and the numbered lists they point at."""

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}
        self.lists: dict[int, tuple[Listing, ...]] = {}
        self.out: list[bytes] = []
        self.readers: dict[int, Callable[[int, bytes, int], int]] = {
            16: self.timer,
            17: self.hello,
            18: self.members,
            19: self.stop,
            20: self.left,
            21: self.started,
            22: self.resolved,
            23: self.catalog,
            24: self.accept,
            25: self.probed,
            26: self.note,
        }

    def batch(self, now: int, count: int, body: bytes) -> tuple[int, bytes]:
        """Handle one frame's records; returns the reply's record count and body."""
        self.out.clear()
        at = 0
        readers = self.readers
        try:
            for _ in range(count):
                reader = readers.get(body[at])
                if reader is None:
                    raise WireError(f"unknown event code {body[at]}")
                at = reader(now, body, at)
        except (struct.error, IndexError):
            raise WireError("a record is cut short") from None
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes are left after the last record")
        return len(self.out), b"".join(self.out)

    def timer(self, now: int, body: bytes, at: int) -> int:
        _, inst, token = EV_TIMER.unpack_from(body, at)
        self.call(inst, "on_timer", now, token)
        return at + 13

    def hello(self, now: int, body: bytes, at: int) -> int:
        _, inst, seed, size = EV_HELLO.unpack_from(body, at)
        end: int = at + 17 + size
        if end > len(body):
            raise WireError("the settings are cut short")
        settings = settings_from_json(body[at + 17 : end])
        node = Node(inst, self.out)
        self.nodes[inst] = node
        try:
            node.balancer = Balancer(settings, seed, node)
            node.balancer.start(now)
        except Exception as err:
            self.broken(inst, err)
        return end

    def members(self, now: int, body: bytes, at: int) -> int:
        _, inst, mode, version, number = EV_MEMBERS.unpack_from(body, at)
        if mode > 3:
            raise WireError(f"unknown list mode {mode}")
        entries: tuple[Listing, ...] = ()
        if mode != Update.FAILED:
            if number not in self.lists:
                raise WireError(f"list {number} was never given")
            entries = self.lists[number]
        self.call(inst, "on_members", now, Update(mode), entries)
        return at + 12

    def stop(self, now: int, body: bytes, at: int) -> int:
        _, inst = EV_STOP.unpack_from(body, at)
        self.nodes.pop(inst, None)
        return at + 5

    def left(self, now: int, body: bytes, at: int) -> int:
        _, inst, request = EV_LEFT.unpack_from(body, at)
        self.call(inst, "on_client_disconnected", now, request)
        return at + 9

    def started(self, now: int, body: bytes, at: int) -> int:
        _, inst, request, attempt, _backend, taken = EV_STARTED.unpack_from(body, at)
        self.call(inst, "on_response_started", now, request, attempt, taken)
        return at + 23

    def resolved(self, now: int, body: bytes, at: int) -> int:
        _, inst, request, _backend, done, attempt, taken, code, n = EV_RESOLVED.unpack_from(
            body, at
        )
        if not 1 <= code <= 8:
            raise WireError(f"unknown outcome {code}")
        load = struct.unpack_from(f">{n}f", body, at + 26) if n else ()
        node = self.nodes.get(inst)
        if node is not None and node.balancer is not None:
            try:
                node.balancer.on_outcome(now, request, attempt, code, taken, done != 0, load)
            except Exception as err:
                self.broken(inst, err)
        return at + 26 + 4 * int(n)

    def catalog(self, now: int, body: bytes, at: int) -> int:
        _, number, n = EV_CATALOG.unpack_from(body, at)
        end: int = at + 7 + ENTRY.size * n
        if end > len(body):
            raise WireError("a list is cut short")
        entries = []
        for cell, zone, backend, state, kind, boot, rating in ENTRY.iter_unpack(body[at + 7 : end]):
            if state > 2:
                raise WireError(f"unknown backend state {state}")
            entries.append(Listing(backend, State(state), zone, cell, kind, boot, rating))
        self.lists[number] = tuple(entries)
        return end

    def accept(self, now: int, body: bytes, at: int) -> int:
        _, inst, request, cls, tenant, key, left, hint, flags = EV_ACCEPT.unpack_from(body, at)
        node = self.nodes.get(inst)
        if node is not None and node.balancer is not None:
            try:
                node.balancer.on_request(
                    now,
                    request,
                    cls,
                    left,
                    tenant,
                    key,
                    hint if flags & HINT_VALID else 0,
                    flags & CLIENT_RETRY != 0,
                )
            except Exception as err:
                self.broken(inst, err)
        return at + 38

    def probed(self, now: int, body: bytes, at: int) -> int:
        _, inst, backend, taken, code, n = EV_PROBED.unpack_from(body, at)
        if not 1 <= code <= 8:
            raise WireError(f"unknown outcome {code}")
        load = struct.unpack_from(f">{n}f", body, at + 19)
        self.call(inst, "on_probe", now, backend, code, taken, load)
        return at + 19 + 4 * int(n)

    def note(self, now: int, body: bytes, at: int) -> int:
        _, _inst, _peer, size = EV_NOTE.unpack_from(body, at)
        if at + 11 + size > len(body):
            raise WireError("a note is cut short")
        return at + 11 + int(size)

    def call(self, inst: int, method: str, now: int, *args: Any) -> None:
        """Hand one event to its instance; one it does not have is skipped."""
        node = self.nodes.get(inst)
        if node is None or node.balancer is None:
            return
        try:
            getattr(node.balancer, method)(now, *args)
        except Exception as err:
            self.broken(inst, err)

    def broken(self, inst: int, err: Exception) -> None:
        """A decision raised: say so on the wire for that instance alone."""
        trace = err.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = f" at line {trace.tb_lineno}" if trace is not None else ""
        self.nodes[inst].fault(f"{type(err).__name__}: {err}{where}")


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read size bytes, or fewer where the input ends."""
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer frames until the input ends; WireError on anything malformed."""
    drill = Drill()
    while True:
        head = read_exactly(stdin, HEAD.size)
        if not head:
            return
        if len(head) < HEAD.size:
            raise WireError("a frame's header is cut short")
        seq, count, size, now = HEAD.unpack(head)
        body = read_exactly(stdin, size)
        if len(body) < size:
            raise WireError("a frame is cut short")
        n, reply = drill.batch(now, count, body)
        stdout.write(REPLY.pack(seq, n, len(reply)) + reply)
        stdout.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"loadbalancer.core: {err}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
