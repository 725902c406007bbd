"""What the recorded bytes of a node are decoded and encoded by: the one file here that imports it.

Plain values are JSON with the wire's own words. Where names in the code change, this file is
edited and nothing beside it.
"""

from __future__ import annotations

import asyncio
import functools
import json
import socket
import struct
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock
from zlib import crc32

from loadbalancer.config.address import Address, parse_address
from loadbalancer.control.consul_relay import ListRelay
from loadbalancer.core import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Settings,
    State,
    Update,
    learned_state,
)
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.list_pieces import Piece
from loadbalancer.core.endpoints.list_versions import (
    NO_VERSION,
    ListDelta,
    PackedDelta,
    pack,
    row_checksum,
    unpack,
)
from loadbalancer.core.endpoints.shared_list import ListUpdate
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    Message,
    MessageKind,
    Observation,
    ReaderRecord,
)
from loadbalancer.core.gossip.slot_leases import Grant, Lease
from loadbalancer.core.request_ids import RequestIdTable
from loadbalancer.gossip_transport import codec
from loadbalancer.gossip_transport import transport as link
from loadbalancer.gossip_transport.settings import FleetFile
from loadbalancer.gossip_transport.shared_list import answer_from_update, rows_from_answer
from loadbalancer.proxy import process
from loadbalancer.proxy.admin import AdminConnection, AdminListener
from loadbalancer.proxy.admin_calls import AdminCalls
from loadbalancer.proxy.lifecycle import Lifecycle
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.datacentre_reader import DatacentreReader
from loadbalancer.sources.consul.file import Consistency, ConsulFile, ServiceApi
from loadbalancer.sources.consul.reader import ConsulReader
from loadbalancer.sources.consul.rows import RowError, RowFormat, decode_rows
from loadbalancer.sources.discovery import Discovery
from loadbalancer.sources.endpoint_list import EndpointList, ListError
from loadbalancer.sources.watchers import Watcher
from loadbalancer.upgrade import handed_state as handed
from loadbalancer.upgrade import predecessor as predecessor_module
from loadbalancer.upgrade.codec import FrameReader, MessageError, encode_frame
from loadbalancer.upgrade.drain import Drain
from loadbalancer.upgrade.greeting import request_listener, send_listener
from loadbalancer.upgrade.link import Link
from loadbalancer.upgrade.messages import Message as PairMessage
from loadbalancer.upgrade.predecessor import Predecessor
from loadbalancer.upgrade.successor import AwaitingState, Sharing, Starting, Successor

Plain = Any

NOW = 5_000 * SECOND  # of the monotonic clock
WALL_MS = 1_760_000_000_000  # Unix time
RECORDS = {
    "life": MemberRecord, "listed": DrainRecord, "observation": Observation,
    "reading": ReaderRecord,
}  # fmt: skip
FIELDS = {  # the wire's word for a field -> its name
    "life": {"standing": "status"},
    "listed": {},
    "observation": {
        "number": "sequence_number",
        "full": "rejections",
        "ratio": "ratio_16ths",
    },
    "reading": {"number": "sequence_number", "how": "state", "mark": "checksum"},
    "piece": {"mark": "checksum", "check": "delta_checksum"},
}
CLASSES = (
    RequestClass("pure", 200 * MS, 1000 * MS, Effect.PURE),
    RequestClass("unsafe", 200 * MS, 1000 * MS, Effect.SIDE_EFFECT, repeat_window=SECOND),
)
SETTINGS = Settings(CLASSES, poll=True, nodes=4, max_attempts=4)


def encode(kind: str, plain: Plain) -> bytes:
    """The bytes of a plain value, as the code writes them."""
    return _ENCODERS[kind](plain)


def decode(kind: str, data: bytes) -> Plain:
    """The plain value of these bytes; {"refused": why} where the code takes them for none."""
    return _DECODERS[kind](data)


def writes(kind: str) -> bool:
    """Whether the code writes this kind."""
    return kind in _ENCODERS


def reads(kind: str) -> bool:
    """Whether the code reads this kind."""
    return kind in _DECODERS


def _clocks() -> Any:
    """Both clocks stand still."""
    return mock.patch.multiple(
        "time", monotonic_ns=lambda: NOW, time_ns=lambda: WALL_MS * MS
    )  # fmt: skip


class _Transport:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def close(self) -> None: ...
    def abort(self) -> None: ...


# ---- gossip ----------------------------------------------------------------------


def _fields(name: str, plain: Plain) -> dict[str, Any]:
    """Values by the names of fields, from values by the names on the wire."""
    return {FIELDS[name].get(recorded, recorded): value for recorded, value in plain.items()}


def _recorded_names(name: str, fields: dict[str, Any]) -> dict[str, Any]:
    """The other way round."""
    names = {field: recorded for recorded, field in FIELDS[name].items()}
    return {names.get(field, field): value for field, value in fields.items()}


def _message(plain: Plain) -> Message:
    records = []
    for row in plain["records"]:
        figures = _fields(row["is"], row)
        del figures["is"]
        if "age_ms" in figures:
            figures["age"] = figures.pop("age_ms") * MS
        records.append(RECORDS[row["is"]](**figures))
    digest = Piece(**_fields("piece", plain["piece"])) if "piece" in plain else plain["digest"]
    return Message(
        MessageKind[plain["kind"].upper()], plain["origin"], plain["incarnation"], plain["serial"],
        plain["subject"], tuple(digest), tuple(records), bytes.fromhex(plain["body"]),
    )  # fmt: skip


def _encode_gossip(plain: Plain) -> bytes:
    return codec.encode(_message(plain), codec.fleet_number(plain["tier"]))


def _decode_gossip(data: bytes) -> Plain:
    try:
        message = codec.decode(data, codec.fleet_number("nodes"))
    except codec.BadMessageError as err:
        return {"refused": str(err)}
    if message is None:
        return None
    records = []
    for record in message.records:
        name = next(name for name, made in RECORDS.items() if isinstance(record, made))
        figures: dict[str, Any] = {"is": name} | _recorded_names(name, record._asdict())
        if "age" in figures:
            figures["age_ms"] = figures.pop("age") // MS
        records.append(figures)
    plain = {
        "tier": "nodes", "kind": message.kind.name.lower(), "origin": message.origin,
        "incarnation": message.incarnation, "serial": message.serial, "subject": message.subject,
        "records": records, "body": message.body.hex(),
    }  # fmt: skip
    if message.kind == MessageKind.PIECE:
        return plain | {"piece": _recorded_names("piece", Piece(*message.digest)._asdict())}
    return plain | {"digest": list(message.digest)}


# ---- the list that a few nodes read for all -----------------------------------------


def _encode_step(plain: Plain) -> bytes:
    packed = pack(ListDelta(-1, NO_VERSION, plain))
    assert packed.checksum == crc32(packed.data)
    return packed.data


def _decode_step(data: bytes) -> Plain:
    step = unpack(PackedDelta(-1, NO_VERSION, crc32(data), data))
    return {"refused": "no step"} if step is None else dict(step.rows)


def _encode_mark(plain: Plain) -> bytes:
    return struct.pack(">Q", row_checksum(plain["uid"], plain["row"]))


def _encode_rows(plain: Plain) -> bytes:
    return json.dumps(
        answer_from_update(ListUpdate(plain["rev"], plain["rows"], plain["all"]))
    ).encode()


def _decode_rows(data: bytes) -> Plain:
    raw = json.loads(data)
    return {"rev": raw["rev"], "all": raw["all"], "rows": rows_from_answer(raw)}


# ---- between two processes of one node -----------------------------------------------


def _encode_hello(plain: Plain) -> bytes:
    ours, theirs = socket.socketpair()
    with ours, theirs, socket.socket() as listener:
        if plain["from"] == "predecessor":
            send_listener(ours, listener)
        else:
            send_listener(theirs, listener)
            request_listener(ours).close()
        data, fds, _, _ = socket.recv_fds(theirs, 100, 1)
        for fd in fds:
            socket.close(fd)
        assert len(fds) == (plain["from"] == "predecessor")
        return data


def _decode_hello(data: bytes) -> Plain:
    ours, theirs = socket.socketpair()
    with ours, theirs, socket.socket() as listener:
        socket.send_fds(theirs, [data], [listener.fileno()])
        try:
            request_listener(ours).close()
        except ConnectionError:
            return {"refused": "another hello"}
        return {"from": "predecessor"}


def _link(
    on_message: Callable[[PairMessage], None] = lambda _message: None,
) -> tuple[Link, _Transport]:
    transport: Any = _Transport()
    made = Link(on_message, lambda: None)
    made.connection_made(transport)
    return made, transport


def _encode_frame(plain: Plain) -> bytes:
    return encode_frame(plain)


def _decode_frame(data: bytes) -> Plain:
    frames = FrameReader()
    read: list[Plain] = []
    try:
        for at in range(len(data)):  # however it is cut
            frames.feed(data[at : at + 1])
            frame = frames.next_frame()
            read += [] if frame is None else [frame]
    except MessageError:
        return {"refused": "no frame"}
    return read[0] if read else {"refused": "no frame"}


def _process(**more: Any) -> Any:
    """A process with just what the two sides of an upgrade ask of it."""
    config = SimpleNamespace(listen=Address("127.0.0.1", 8080))
    parts: dict[str, Any] = {"request_ids": RequestIdTable(), "share_memory": lambda _: None}
    node = SimpleNamespace(config=config, **parts | more)
    return SimpleNamespace(node=node, loop=None)


def _encode_message(plain: Plain) -> bytes:
    """A frame as the side that sends it builds it."""
    made, transport = _link()
    kind = plain["says"]
    if kind == "keeps":
        labels = {label.encode("latin-1"): None for label in plain["labels"]}  # in this order
        node: Any = SimpleNamespace(
            clients=1,
            upstream=SimpleNamespace(idle_count=lambda: 0),
            request_ids=SimpleNamespace(own=lambda: labels),
            descriptors=lambda: plain["descriptors"],
            releasable_descriptors=lambda: 0,
            set_other_process_descriptors=lambda _count: None,
        )
        drain = Drain(node)
        drain.remaining_fraction = 0.0 if plain["empty"] else 1.0
        made.send(drain.report({int(server): slots for server, slots in plain["keeps"].items()}))
    elif kind == "state":
        side = Predecessor(_process())
        side._process.lifecycle = SimpleNamespace(standby=False)  # type: ignore[assignment]
        with (
            mock.patch.object(handed, "export", lambda *_: plain["state"]),
            mock.patch.object(predecessor_module, "release_socket"),
        ):
            asyncio.run(_begin(side, made, transport))
    elif kind in ("serving", "news"):
        heir = Successor(_process(discovery=SimpleNamespace(forward=None)))
        heir._state = Starting(made)
        if kind == "news":
            heir._forward_list(plain["answer"].encode())
        else:
            asyncio.run(_serve(heir))
    else:
        run = SimpleNamespace(
            forward=made.send,
            set_standby=lambda _on: None,
            lifecycle=Lifecycle(),
            node=None,
            config=None,
        )
        calls = AdminCalls(run)
        if kind == "reload":
            with (
                mock.patch.dict("os.environ", clear=True),  # nothing to read: told all the same
                mock.patch.object(process, "apply_configuration", _refuse),
            ):
                process.Process.reload(run)  # type: ignore[arg-type]
        else:
            (calls.begin_standby if plain["on"] else calls.end_standby)()
    return transport.written


async def _begin(side: Any, made: Link, transport: _Transport) -> None:
    async def connected(*_: Any) -> tuple[_Transport, Link]:
        return transport, made

    side._process.loop = SimpleNamespace(connect_accepted_socket=connected)
    await side._start_link(made, None)


async def _serve(heir: Any) -> None:
    heir._process.loop = asyncio.get_running_loop()
    await heir.announce_serving()


def _refuse(_node: object, _config: object) -> None:
    raise AssertionError("no configuration was to be read")


def _decode_message(data: bytes) -> Plain:
    """A frame as the side that receives it takes it."""
    received: dict[str, Any] = {}
    host = _process(
        use_limit_share=lambda _part: None,
        set_other_process_descriptors=lambda count: received.update(
            says="keeps", descriptors=count
        ),
        discovery=SimpleNamespace(
            on_forwarded=lambda body: received.update(says="news", answer=body.decode())
        ),
    )
    host.reload = lambda forwarded: received.update(says="reload")
    host.set_standby = lambda on: received.update(says="standby", on=on)
    heir, elder = Successor(host), Predecessor(host)
    awaited: Any = SimpleNamespace(
        done=lambda: False, set_result=lambda state: received.update(says="state", state=state)
    )
    reported: Any = SimpleNamespace(done=lambda: True)
    with (
        mock.patch.object(elder, "_start_draining", lambda: received.update(says="serving")),
        mock.patch.object(handed, "parse", lambda raw, _now: raw),
    ):
        made, _ = _link(heir._on_message)
        heir._state = AwaitingState(made, awaited)
        made.data_received(data)
        if not received:
            sharing = heir._state = Sharing(made, reported)
            made.data_received(data)
        if not received:
            _link(elder._on_message)[0].data_received(data)
    if received["says"] == "keeps":
        received["keeps"] = {str(server): slots for server, slots in sharing.share.retained.items()}
        received["labels"] = sorted(
            label.decode("latin-1") for label in host.node.request_ids.other_process()
        )
    return received


def _encode_state(plain: Plain) -> bytes:
    """What a process leaves that has this list and has learned this."""
    nobody: Any = SimpleNamespace(
        set_timer=lambda *_: None, watch=lambda: None, log=lambda _text: None
    )
    balancer = Balancer(SETTINGS, 1, nobody)
    balancer.start(0)
    rows = [
        Listing(
            m["server"], State(m["state"]), m["zone"], m["cell"], m["kind"],
            0 if m["age_ns"] < 0 else NOW - m["age_ns"], m["rating"],
        )
        for m in plain["members"]
    ]  # fmt: skip
    balancer.on_members(0, Update.CACHED, rows)
    learned_state.restore(balancer, NOW, learned_state.parse(plain["learned"]))
    boots = {m["server"]: m["boot_ms"] for m in plain["members"]}
    roster = SimpleNamespace(
        rev=plain["rev"],
        endpoints={m["server"]: Address(m["host"], m["port"]) for m in plain["members"]},
        boot_ms=boots.__getitem__,
    )
    node: Any = SimpleNamespace(
        balancer=balancer,
        discovery=SimpleNamespace(endpoint_list=roster, handed_sources=lambda: None),
    )
    with _clocks():
        return json.dumps(handed.export(node, plain["standby"])).encode()


def _decode_state(data: bytes) -> Plain:
    try:
        learned_state = handed.parse(json.loads(data), NOW)
    except ValueError:
        return {"refused": "not what a process leaves"}
    members = []
    for row, address, boot_ms in learned_state.members:
        members.append(
            {
                "server": row.backend, "state": int(row.state), "zone": row.zone, "cell": row.cell,
                "kind": row.kind, "age_ns": NOW - row.boot if row.boot else -1,
                "rating": row.rating, "host": address.host, "port": address.port,
                "boot_ms": boot_ms,
            }
        )  # fmt: skip
    learned = learned_state.learned
    return {
        "rev": learned_state.rev, "members": members, "standby": learned_state.standby,
        "learned": {
            "level": learned.concurrency_limit, "send_rate": learned.send_rate,
            "retry_credit": learned.retry_credit,
            "classes": {
                name: [*c[:4], list(c.remaining_histogram)] for name, c in learned.classes.items()
            },
            "backends": {str(server): list(one) for server, one in learned.endpoints.items()},
        },
    }  # fmt: skip


# ---- the admin address -------------------------------------------------------------------


def _encode_reply(plain: Plain) -> bytes:
    """The response to an admin request at a node in this state, as the caller receives it."""
    lifecycle = Lifecycle()
    lifecycle.serving, lifecycle.has_usable_list = plain["serving"], plain["listed"]
    lifecycle.stopping = plain["stopping"]
    run: Any = SimpleNamespace(
        lifecycle=lifecycle,
        loop=SimpleNamespace(add_reader=lambda *_: None, call_later=lambda *_: mock.Mock()),
        node=SimpleNamespace(peers=_peers() if plain["gossip"] else None),
        forward=lambda _frame: None,
        set_standby=lambda on: lifecycle.begin_standby(NOW) if on else lifecycle.end_standby(),
    )
    run.set_standby(plain["standby"])
    made: list[AdminListener] = []

    def listen(admin: AdminListener, _address: Address) -> int:
        made.append(admin)
        return 9000

    with mock.patch.object(AdminListener, "listen", listen):
        AdminCalls(run).listen(Address("127.0.0.1", 9000))
    ours, theirs = socket.socketpair()
    with ours, theirs, _clocks():
        ours.sendall(plain["call"].encode())
        caller = AdminConnection(made[0], theirs)
        caller._read()
        return ours.recv(1 << 16)


def _peers() -> link.GossipTransport:
    """The first of four nodes, which knows of the others what `status` shows."""
    host: Any = SimpleNamespace(log=lambda _text: None)
    config: Any = _node_config()
    host.discovery = Discovery(config, lambda *_: None, host.log)
    host.balancer = Balancer(SETTINGS, 1, host)
    with _clocks(), mock.patch.object(link, "FleetFile", lambda: FleetFile(readers=2)):
        peers = link.GossipTransport(host, config)
        fleet = peers.node
        fleet.receive(
            NOW - 30 * MS,
            Message(
                MessageKind.GOSSIP, 2, 1_759_999_000_000,
                records=(
                    MemberRecord(1, 1_759_999_000_001, 1),
                    MemberRecord(3, 1_759_999_000_003, 3),
                    DrainRecord(0x1F2E3D4C5B6A7988, 1_759_000_000_000, 41, 2, 700 * MS),
                    Observation(
                        0x0A0B0C0D0E0F1011, 1_759_000_000_001, 2, 1_759_999_000_000, 7, 3, 1, 2, 36,
                        900 * MS,
                    ),
                    ReaderRecord(2, 1_759_999_000_000, 4, 1, 2, 41, 77, 1200 * MS),
                ),
            ),
        )  # fmt: skip
        fleet.leases.grants |= {c: Grant(2, NOW + (300 + c) * MS) for c in (1, 4)}
        fleet.leases.active[1] = Lease(0b101, NOW, NOW + 700 * MS)
        peers.counters["broken"] += 2
        return peers


# ---- calls to list services, and the list as it is served --------------------------------


def _node_config() -> Any:
    return SimpleNamespace(
        discovery=Address("discovery.test", 8600), settings=SETTINGS, seed=1,
        zones=("east", "west"), kinds=("small", "large"), fleet="", consul="",
        peer_listen=Address("127.0.0.1", 7946),
        known={
            "rev": 7, "all": True,
            "targets": [{"uid": "s-1", "state": "active", "endpoint": "10.0.0.1:8080"}],
        },
        peers=tuple(Address("127.0.0.1", 7946 + n) for n in range(4)),
    )  # fmt: skip


async def _called(calls: Callable[[], None]) -> list[tuple[Any, bytes]]:
    """The connections that `calls` opens: each one's protocol, and what it sent."""
    loop = asyncio.get_running_loop()
    made: list[tuple[Any, Any]] = []

    async def connect(factory: Callable[[], Any], *_: Any, **_more: Any) -> None:
        protocol, transport = factory(), _Transport()
        made.append((protocol, transport))
        protocol.connection_made(transport)

    with mock.patch.object(loop, "create_connection", connect):
        calls()
        for _ in range(3):
            await asyncio.sleep(0)
    return [(protocol, transport.written) for protocol, transport in made]


def _encode_discovery(plain: Plain) -> bytes:
    """The call for what has changed since `from`, or for the whole list where it has none."""

    async def call() -> bytes:
        discovery = Discovery(_node_config(), lambda *_: None)
        discovery.endpoint_list.rev = plain["from"] or 0
        address = parse_address(plain["address"])
        if plain["from"] is None:  # its service has moved
            found = await _called(lambda: discovery.reconfigure(address, SETTINGS))
        else:
            discovery._address = address
            found = await _called(discovery.watch)
            if plain["hold_ms"] > 1:  # the watch comes after an answer
                answer = json.dumps({"rev": plain["from"], "all": False, "targets": []})
                head = f"HTTP/1.1 200 -\r\nContent-Length: {len(answer)}\r\n\r\n"
                first = found[0][0]
                found = await _called(lambda: first.data_received((head + answer).encode()))
        discovery.close()
        return found[0][1]

    return asyncio.run(call())


def _received_call(data: bytes) -> tuple[Plain, Watcher, _Transport]:
    """A call as a service that serves the list reads it."""
    got: dict[str, Any] = {}

    def on_list_request(_watcher: Watcher, since: int, hold: float, _query: Any) -> None:
        got.update({"from": since, "hold_ms": round(hold * 1000)})

    host: Any = SimpleNamespace(
        max_connections=1, connections=0, is_waiting=lambda _c: False, cancel=lambda _c: None,
        ready=lambda: True, on_list_request=on_list_request,
    )  # fmt: skip
    transport: Any = _Transport()

    async def hear() -> Watcher:
        watcher = Watcher(host)
        watcher.connection_made(transport)
        watcher.data_received(data)
        watcher.connection_lost(None)
        return watcher

    return got, asyncio.run(hear()), transport


def _decode_question(data: bytes) -> Plain:
    got, _, transport = _received_call(data)
    return got or {"refused": transport.written.decode()}


def _decode_listing(data: bytes) -> Plain:
    """An answer of discovery's as a node reads it."""
    raw = json.loads(data)
    roster = EndpointList(_node_config())
    try:
        with _clocks():
            update, rows, endpoints = roster.decode(raw)
    except ListError:
        return {"refused": "a list that can't be used"}
    return {
        "rev": raw["rev"], "all": update == Update.FULL,
        "rows": [
            {
                "server": r.backend, "state": r.state.name.lower(), "zone": r.zone, "cell": r.cell,
                "kind": r.kind, "rating": r.rating, "boot_ms": roster.boot_ms(r.backend),
                "address": str(endpoints[r.backend]) if r.backend in endpoints else None,
            }
            for r in rows
        ],
    }  # fmt: skip


def _encode_relayed(plain: Plain) -> bytes:
    """The list as it is served on: what changed after `since`, with its head."""
    transport: Any = _Transport()
    file = ConsulFile((), "shop", {}, None, None, 1, Consistency.STALE, 60)

    async def serve() -> None:
        with _clocks():
            relay = ListRelay(file, 1)
        relay.revisions.rev = relay.revisions._first_known = plain["first_rev"]
        for members in plain["lists"]:
            merged: list[Any] = [
                SimpleNamespace(**m | {"state": State[m["state"].upper()], "boot": m["boot_ns"]})
                for m in members
            ]
            relay.updater = SimpleNamespace(  # type: ignore[assignment]
                merged_list=SimpleNamespace(
                    servers=lambda merged=merged: merged, is_complete=lambda: plain["complete"]
                )
            )
            relay._publish()
        watcher = Watcher(relay)
        watcher.connection_made(transport)
        watcher.data_received(plain["call"].encode())
        watcher.connection_lost(None)

    asyncio.run(serve())
    written: bytes = transport.written
    return written


def _encode_consul(plain: Plain) -> bytes:
    """All calls of one datacentre's reader in their order, as they were sent.

    Each is answered before the next, two seconds later: no share of lines has to be waited for.
    """
    file = ConsulFile(
        (parse_address(plain["agent"]),), plain["service"], {plain["datacentre"]: ""}, None, None,
        plain["lines"], Consistency(plain["consistency"]), 60, tuple(plain["tags"]),
        ServiceApi(plain["read"]), plain["shard_by"],
    )  # fmt: skip

    async def call() -> bytes:
        # Under the same clock as its calls: a machine that is up for longer than NOW would
        # have it begin later than they come.
        with mock.patch("time.monotonic_ns", lambda: NOW):
            reader = ConsulReader(file, Credentials(plain["token"]), lambda *_: None, 1)
        datacentre = reader.datacentres[0]
        sent = b""
        for at, step in enumerate(plain["calls"]):
            is_watch = step["is"] == "watch"
            what = datacentre._send_watch if is_watch else datacentre._send_query
            with mock.patch("time.monotonic_ns", lambda at=at: NOW + 2 * at * SECOND):
                found = await _called(what)
            sent += found[0][1]
            body = json.dumps(step["answer"])
            head = f"HTTP/1.1 200 -\r\nX-Consul-Index: {step['index']}\r\n"
            answer = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
            with (
                mock.patch("time.monotonic_ns", lambda at=at: NOW + 2 * at * SECOND),
                # The next one comes with its own step.
                mock.patch.object(DatacentreReader, "_send_query"),
            ):
                found[0][0].data_received(answer)
        reader.close()
        return sent

    return asyncio.run(call())


def _decode_servers(data: bytes, catalog: bool) -> Plain:
    """An answer of Consul's as a reader takes it."""
    try:
        api = ServiceApi.CATALOG if catalog else ServiceApi.HEALTH
        found = decode_rows(data, "east", RowFormat(api, zone_meta="zone"))
    except RowError:
        return {"refused": "rows that can't be used"}
    return [
        {
            "uid": w.uid, "host": w.host, "port": w.port, "zone": w.zone,
            "health": w.health.name.lower(), "weight": w.weight,
        }
        for w, _key in found
    ]  # fmt: skip


_ENCODERS: dict[str, Callable[[Plain], bytes]] = {
    "gossip": _encode_gossip,
    "step": _encode_step,
    "mark": _encode_mark,
    "rows": _encode_rows,
    "hello": _encode_hello,
    "frame": _encode_frame,
    "word": _encode_message,
    "state": _encode_state,
    "reply": _encode_reply,
    "discovery": _encode_discovery,
    "relayed": _encode_relayed,
    "consul": _encode_consul,
}
_DECODERS: dict[str, Callable[[bytes], Plain]] = {
    "gossip": _decode_gossip,
    "step": _decode_step,
    "rows": _decode_rows,
    "hello read": _decode_hello,
    "frame": _decode_frame,
    "word": _decode_message,
    "state": _decode_state,
    "question": _decode_question,
    "listing": _decode_listing,
    "health": functools.partial(_decode_servers, catalog=False),
    "catalog": functools.partial(_decode_servers, catalog=True),
}
