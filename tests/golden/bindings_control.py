"""The control side's product code as the recorded bytes need it: `encode` and `decode` by kind.

Only this file names product code. The names on the left are those of the recorded files and
stay; where a class or an attribute gets another name, the right side alone is edited.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Callable
from functools import cache
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2, json_format

from loadbalancer.config.address import parse_address
from loadbalancer.config.toml_file import parse
from loadbalancer.control.machine import list_format as listform
from loadbalancer.control.machine import submitted_changes as handed_in
from loadbalancer.control.machine.backends import read_backends
from loadbalancer.control.machine.file import BoundListener, Limits, ScaleFileError, read_scale_file
from loadbalancer.control.machine.machine import ControlMachine
from loadbalancer.control.machine.messages import (
    NodeReport,
    NodeReports,
    PresenceRequest,
    message_codec,
)
from loadbalancer.control.machine.node_requests import NodeRequests, SubscriberConnection
from loadbalancer.control.machine.operator_calls import OperatorConnection, OperatorHost
from loadbalancer.control.machine.stream import Hello, PeerStreams, _IncomingStream
from loadbalancer.control.machine.subscriber import (
    PollTiming,
    Subscriber,
    _RegionPolls,
    _ServingReport,
)
from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.control.xds.encoder import Encoder, stub_cluster
from loadbalancer.control.xds.wire import ResponseEncoder, decode_delta_request, decode_request
from loadbalancer.core.assignment.model import (
    Change,
    Delta,
    MachineSpec,
    NodeSpec,
    Position,
    Row,
    ServiceSpec,
)
from loadbalancer.core.assignment.model import Snapshot as WholeServices
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import NodeRelease, ReleaseGrant
from loadbalancer.core.balancing.model import Effect, RequestClass, ServerView, Settings, State
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Fetch,
    FetchResponse,
    InstallSnapshot,
    RecoveryRequest,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
    ServiceRows,
)
from loadbalancer.core.replicated_log.replication import Proposal, ProposalOutcome
from loadbalancer.core.routes.file import decode as decode_routes
from loadbalancer.core.xds.history import make_version_info
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.plan import make_plan
from loadbalancer.core.xds.snapshot import Resource, ResourceType
from loadbalancer.core.xds.target_proxies import ProxyKind, TargetProxies
from loadbalancer.sources.http_get import HttpGet as OutgoingCall

REFUSED = (ValueError, ScaleFileError)

# A record's class and fields: KEY, KEY=ATTRIBUTE where they differ, KEY:RECORD or
# KEY:RECORD* where the value is another record or several.
RECORDS: dict[str, tuple[Any, str]] = {
    "position": (Position, "epoch revision"),
    "row": (Row, "uid body leaving=draining"),
    "change": (Change, "position:position service rows:row* removed deleted whole=complete"),
    "service-image": (ServiceRows, "service changed=last_changed rows:row*"),
    "node-report": (NodeReport, "node serving"),
    "node-release": (NodeRelease, "node services"),
    "delta": (Delta, "region base:position position:position changes:change*"),
    "wanted": (handed_in.SubmittedChange, "service rows:row* removed deleted"),
    "machine-spec": (MachineSpec, "name region zone"),
    "node-spec": (NodeSpec, "name region zone capacity rate"),
    "service-spec": (ServiceSpec, "name region zones rate backends"),
    "bound": (BoundListener, "machine service"),
    "limits": (Limits, "subscribers change_bytes backlog snapshot_rate"),
}
MESSAGES: dict[str, tuple[Any, str]] = {
    "hello": (Hello, "machine fleet"),
    "presence-update": (PresenceUpdate, "serial whole=complete came=joined left=departed"),
    "presence-wanted": (PresenceRequest, ""),
    "reports": (NodeReports, "reports:node-report*"),
    "vote-request": (
        RequestVote,
        "region epoch=term history:position last=last_log:position trial=pre_vote reload transfer",
    ),
    "vote": (
        RequestVoteResponse,
        "region epoch=term current=current_term granted=vote_granted trial=pre_vote",
    ),
    "append": (
        AppendEntries,
        "region epoch=term history:position previous=prev_log:position entries:change*"
        " accepted=leader_commit far=needs_snapshot",
    ),
    "appended": (
        AppendEntriesResponse,
        "region epoch=term ok=success revision=match_index counts=voting",
    ),
    "fetch": (
        Fetch,
        "region position:position serial=request_id reported=highest_reported:position"
        " image=snapshot:position part=chunk",
    ),
    "fetched": (FetchResponse, "region serial=request_id position:position changes:change*"),
    "image-part": (
        InstallSnapshot,
        "region serial=request_id position:position part=chunk parts=chunks"
        " services:service-image* gone=last_deletion epochs=epoch_starts:position*"
        " history:position",
    ),
    "status-request": (RecoveryRequest, "region nonce"),
    "status": (
        RecoveryResponse,
        "region nonce empty=recovering epoch=term last=last_log:position"
        " reported=highest_reported:position",
    ),
    "release-grant": (ReleaseGrant, "region epoch releases:node-release*"),
}
RECORDS |= MESSAGES
RESOURCE_TYPES = {
    "CDS": ResourceType.CLUSTER, "EDS": ResourceType.ENDPOINTS,
    "LDS": ResourceType.LISTENER, "RDS": ResourceType.ROUTES,
}  # fmt: skip
POLLED_ADDRESS = "127.0.0.1:7001"
SERVICES = {"cart": "east", "pay": "east", "empty": "east"}  # and their home regions
CONTROL_FILE = """\
version = 1
{key} = "lines.jsonl"
[regions]
east = ["east-1", "east-2"]
west = ["west-1"]
[[machine]]
name = "east-a"
region = "east"
zone = "east-1"
subscribers = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
admin = "127.0.0.1:7003"
"""


@cache
def _fields(record: str) -> list[tuple[str, str, str, bool]]:
    """Each field's key, attribute, record or "", and whether it is several of these."""
    found = []
    for text in RECORDS[record][1].split():
        name, _, inner = text.partition(":")
        key, _, attribute = name.partition("=")
        found.append((key, attribute or key, inner.rstrip("*"), inner.endswith("*")))
    return found


def _plain(record: str, value: Any) -> Any:
    """A record as plain values by the names in the recorded files."""
    if value is None:
        return None
    found: dict[str, Any] = {}
    for key, attribute, inner, several in _fields(record):
        one = getattr(value, attribute)
        if several:
            one = [_plain(inner, part) for part in one]
        elif inner:
            one = _plain(inner, one)
        found[key] = list(one) if isinstance(one, tuple) else one
    return found


def _built(record: str, plain: Any) -> Any:
    """The record that these plain values describe."""
    if plain is None:
        return None
    found: dict[str, Any] = {}
    for key, attribute, inner, several in _fields(record):
        one = plain[key]
        if several:
            one = tuple(_built(inner, part) for part in one)
        elif inner:
            one = _built(inner, one)
        found[attribute] = tuple(one) if isinstance(one, list) else one
    return RECORDS[record][0](**found)


def encode(kind: str, plain: Any) -> bytes:
    """The bytes that the code writes for these values."""
    if kind in MESSAGES:
        return message_codec().encode(_built(kind, plain))
    return WRITERS[kind](plain)


def decode(kind: str, data: bytes) -> Any:
    """The values that the code reads from these bytes; one of REFUSED where it takes none."""
    if kind in MESSAGES:
        message = message_codec().decode(data)
        assert type(message) is MESSAGES[kind][0]
        return _plain(kind, message)
    return READERS[kind](data)


# ---- streams between machines ------------------------------------------------


def _write_stream(plain: Any) -> bytes:
    """What a machine writes on a stream: its hello, then messages, each in a frame."""
    sent: list[bytes] = []
    transport = SimpleNamespace(
        is_closing=lambda: False, get_write_buffer_size=lambda: 0, write=sent.append
    )
    hello = _built("hello", plain["hello"])
    streams = PeerStreams(hello, {}, message_codec(), 1 << 20, lambda *_: None, lambda _: None)
    streams._outgoing["other"] = transport  # type: ignore[assignment]
    streams.send("other", hello)
    for message in plain["messages"]:
        streams.send("other", _built(message["kind"], message["fields"]))
    return b"".join(sent)


def _read_stream(data: bytes) -> Any:
    kinds = {type_: kind for kind, (type_, _) in MESSAGES.items()}
    found: dict[str, Any] = {"messages": []}

    def on_message(sender: str, message: Any) -> None:
        assert sender == found["hello"]["machine"]
        kind = kinds[type(message)]
        found["messages"].append({"kind": kind, "fields": _plain(kind, message)})

    def accepts(hello: Hello) -> bool:
        found["hello"] = _plain("hello", hello)
        return True

    async def read() -> None:
        streams = PeerStreams(
            Hello("", ""), {}, message_codec(), 1 << 20, on_message, lambda _: None
        )
        with mock.patch.object(streams, "accepts", accepts):
            incoming = _IncomingStream(streams)
            incoming.connection_made(mock.Mock())
            for at in range(0, len(data), 7):  # frames come in pieces
                incoming.data_received(data[at : at + 7])
        assert not streams.counts and not incoming._buffer

    asyncio.run(read())
    return found


# ---- the list's form ---------------------------------------------------------


def _write_version(plain: Any) -> bytes:
    return str(version_of(_built("position", plain))).encode()


def _read_version(data: bytes) -> Any:
    return _plain("position", position_of(int(data)))


def _update(plain: Any) -> Any:
    if plain["form"] == "delta":
        return _built("delta", plain)
    services = {
        name: {row["uid"]: _built("row", row) for row in rows}
        for name, rows in plain["services"].items()
    }
    return WholeServices(plain["region"], _built("position", plain["position"]), services)


def _plain_update(update: Any) -> Any:
    if update is None:
        return None
    if isinstance(update, Delta):
        return {"form": "delta"} | _plain("delta", update)
    services = {
        name: [_plain("row", row) for row in rows.values()]
        for name, rows in update.services.items()
    }
    position = _plain("position", update.position)
    return {"form": "whole", "region": update.region, "position": position, "services": services}


def _orders(plain: Any) -> listform.NodeAssignment | None:
    if plain is None:
        return None
    return listform.NodeAssignment(
        wanted=plain["wanted"],
        releasable=frozenset(plain["releasable"]),
        generation=plain["generation"],
    )


def _write_answer(plain: Any) -> bytes:
    position, orders = _built("position", plain["position"]), _orders(plain["orders"])
    if plain["update"] is not None:
        return listform.encode(_update(plain["update"]), orders)
    if orders is not None:
        return listform.encode_assignment(position, orders)
    more = {key: plain[key] for key in ("elsewhere", "address", "pause_ms") if plain[key]}
    return listform.encode_empty(position, **more)


def _read_answer(data: bytes) -> Any:
    answer = listform.decode(data, 100)
    orders = answer.assignment
    return {
        "position": _plain("position", answer.position),
        "update": _plain_update(answer.update),
        "orders": orders
        and {
            "wanted": dict(orders.wanted),
            "releasable": sorted(orders.releasable),
            "generation": orders.generation,
        },
        "elsewhere": answer.redirect_machine,
        "address": answer.redirect_address,
        "pause_ms": answer.pause_ms,
    }


def _write_plain_list(plain: Any) -> bytes:
    rows = [_built("row", row) for row in plain["rows"]]
    version = version_of(_built("position", plain["position"]))
    return listform.encode_plain_list(version, plain["whole"], rows, plain["gone"])


# ---- questions of nodes ------------------------------------------------------


def _write_question(plain: Any) -> bytes:
    held, serving = (frozenset(plain[key] or ()) for key in ("held", "serving"))
    holder: Any = SimpleNamespace(
        name=plain["node"],
        position=lambda _: _built("position", plain["position"]),
        current_services=lambda _: held,
        subscribed_services=lambda _: held,
        serving=lambda: serving,
    )
    timing = PollTiming(hold_s=plain["hold_ms"] / 1000)
    machines = [parse_address(POLLED_ADDRESS)]
    asker = Subscriber(holder, [plain["region"]], machines, lambda *_: None, 1, timing)
    state = _RegionPolls(0, first_poll=plain["held"] is not None, generation=plain["generation"])
    asker._regions[plain["region"]] = state
    state.stay_until = float("inf") if plain["redirected"] else 0.0
    if plain["serving"] is None:
        state.reported = _ServingReport(plain["generation"], "")
    target = asker._target(plain["region"], state)

    async def head() -> str:
        call = OutgoingCall(parse_address(POLLED_ADDRESS), target, 1.0, lambda _: None)
        call.drop()
        return call._head

    return asyncio.run(head()).encode()


def _read_question(data: bytes) -> Any:
    requests: list[Any] = []
    host: Any = mock.Mock(max_connections=1, connections=0)
    host.is_waiting.return_value = False
    host.on_list_request = lambda _, *request: requests.append(request)
    connection = SubscriberConnection(host)
    connection.data_received(data)
    ((since, hold, query),) = requests
    questions = NodeRequests(mock.Mock(), mock.Mock(), mock.Mock(), {}, 1)
    question = questions._decode(0, since, hold, query)
    report = question.report
    return {
        "node": question.node,
        "region": question.region,
        "position": _plain("position", question.position),
        "hold_ms": question.deadline_ns // 1_000_000,
        "held": None if question.current is None else sorted(question.current),
        "serving": report and sorted(report.serving),
        "generation": report.generation if report else 0,
        "redirected": question.redirected,
    }


def _write_http_answer(plain: Any) -> bytes:
    sent: list[bytes] = []
    connection = SubscriberConnection(mock.Mock(max_connections=1, connections=0))
    transport: Any = mock.Mock(write=sent.append)
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    connection._transport = transport
    connection.reply(plain["status"], plain["body"].encode())
    return b"".join(sent)


# ---- operators' calls ---------------------------------------------------------


def _handed_in() -> handed_in.ChangeSubmissions:
    return handed_in.ChangeSubmissions(mock.Mock(), "east", SERVICES)


def _read_operator_call(data: bytes) -> Any:
    found: dict[str, Any] = {}

    def status() -> dict[str, Any]:
        found["call"] = "status"
        return {}

    def log_after(region: str, version: int) -> tuple[int, bytes]:
        found.update(call="log", region=region, position=_plain("position", position_of(version)))
        return 200, b""

    def submit(body: bytes, reply: Any) -> None:
        found.update(call="changes", changes=body)

    machine: Any = SimpleNamespace(status=status, log_after=log_after, submit=submit)
    OperatorConnection(OperatorHost(machine, 1 << 20)).data_received(data)
    if "changes" in found:
        rows = handed_in.decode_changes(found["changes"], SERVICES)
        found["changes"] = [_plain("wanted", one) for one in rows]
    return found


def _write_changes_answer(plain: Any) -> bytes:
    """The answer to changes handed in: HTTP status, a space, the body."""
    answers: list[bytes] = []
    call = handed_in._Submission(lambda status, body: answers.append(f"{status} ".encode() + body))
    hosts = _handed_in()
    if "outcome" in plain:
        hosts._refuse(call, Proposal(ProposalOutcome(plain["outcome"]), leader=plain["leader"]))
    for one in plain.get("accepted", ()):
        call.committed_ns[_built("position", one["position"])] = None
    hosts._pending = dict.fromkeys(call.committed_ns, call)
    for one in plain.get("accepted", ()):
        change = Change(_built("position", one["position"]), "cart")
        with mock.patch("time.monotonic_ns", lambda at=one["at_ns"]: at):
            hosts.on_committed("east", change)
    return b"".join(answers)


def _write_log_answer(plain: Any) -> bytes:
    """The answer to GET /log: HTTP status, a space, the body."""
    log = ChangeLog("east", 100, 1 << 20)
    for change in plain["log"]:
        log.append(_built("change", change))
    machine: Any = SimpleNamespace(logs={"east": log})
    version = version_of(_built("position", plain["position"]))
    status, body = ControlMachine.log_after(machine, plain["region"], version)
    return f"{status} ".encode() + body


# ---- files ---------------------------------------------------------------------


def _read_backends_file(data: bytes) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "backends.jsonl"
        path.write_bytes(data)
        found = read_backends(path, SERVICES)
    return {name: [_plain("row", row) for row in rows] for name, rows in found.items()}


def _read_lines(key: str, attribute: str, record: str, data: bytes) -> Any:
    """A file of JSON lines beside a control file that names it."""
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "lines.jsonl").write_bytes(data)
        path = Path(folder) / "scale.toml"
        path.write_text(CONTROL_FILE.format(key=key))
        rows = getattr(read_scale_file(str(path)), attribute)
    return [_plain(record, row) for row in rows]


def _read_control_file(data: bytes) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "scale.toml"
        path.write_bytes(data)
        file = read_scale_file(str(path))
    return {
        "regions": {name: list(zones) for name, zones in file.regions.items()},
        "machines": [
            _plain("machine-spec", one.spec)
            | {key: str(getattr(one, key)) for key in ("subscribers", "peers", "admin")}
            for one in file.machines
        ],
        "nodes": [_plain("node-spec", one) for one in file.nodes],
        "services": [_plain("service-spec", one) for one in file.services],
        "bound": [
            _plain("bound", one) | {"listen": str(one.listen)} for one in file.bound_listeners
        ],
        "limits": _plain("limits", file.limits),
        "seed": file.seed,
        "assignment": {
            "least_per_zone": file.rules.min_per_zone,
            "most_sharers": file.rules.max_sharers,
            "node_rate": file.rules.node_rate,
        },
        "backends_file": file.backends and file.backends.name,
    }


# ---- xDS -----------------------------------------------------------------------


def resources(plain: Any) -> list[dict[str, Any]]:
    """Every resource of a plan, for one kind of proxy, in the order in which they are made."""
    settings = Settings(
        classes=tuple(
            RequestClass(one["name"], one["wanted"], one["give_up"], Effect[one["effect"]])
            for one in plain["classes"]
        ),
        cold_from=plain["cold_from"],
    )
    table = decode_routes(*parse(plain["routes"].encode())).table
    assert table is not None
    view = [
        ServerView(
            backend=one["backend"], zone=one["zone"], state=State[one["state"]], cap=one["cap"],
            capacity_fraction=one["warmth"], latency_ratio=1.0, ejected=one["down"],
        )
        for one in plain["servers"]
    ]  # fmt: skip
    addresses = {one["backend"]: (one["host"], one["port"]) for one in plain["servers"]}
    proxy = ProxyKind(plain["proxy"])
    to = TargetProxies(
        proxy, plain["zone"], tuple(plain["zones"]), plain["proxies"], plain["own_ramp"]
    )
    plans = [
        make_plan(service, settings, table.node_budget, view, addresses, to)
        for service in table.services
    ]
    host, port = plain["listen"]
    snapshot = Encoder(proxy, (host, port)).build(plans)
    return [
        {"type": name, "name": one.name, "version": one.version, "depends": sorted(one.references),
         "hex": one.body.hex()}
        for name, kind in RESOURCE_TYPES.items()
        for one in snapshot.of_type(kind).values()
    ]  # fmt: skip


def resource_message(data: bytes) -> Any:
    """What a serialised resource says, by protobuf's own JSON form."""
    return json_format.MessageToDict(any_pb2.Any.FromString(data))


def _type_name(url: str) -> str:
    names = {"Cluster": "CDS", "ClusterLoadAssignment": "EDS", "Listener": "LDS"}
    return names.get(url.rpartition(".")[2], "RDS")


def _write_discovery_answer(plain: Any) -> bytes:
    rows = tuple(
        Resource(one["name"], one["version"], bytes.fromhex(one["hex"]))
        for one in plain["resources"]
    )
    kind = RESOURCE_TYPES[plain["type"]]
    reply = DiscoveryResponse(kind, plain["version"], plain["nonce"], rows, tuple(plain["removed"]))
    return ResponseEncoder(plain["incremental"]).encode(reply)


def _read_incremental_answer(data: bytes) -> Any:
    message = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
    rows = [
        {"name": one.name, "version": one.version,
         "hex": one.resource.SerializeToString(deterministic=True).hex()}
        for one in message.resources
    ]  # fmt: skip
    return {
        "incremental": True,
        "type": _type_name(message.type_url),
        "version": message.system_version_info,
        "nonce": message.nonce,
        "resources": rows,
        "removed": list(message.removed_resources),
    }


def _read_complete_answer(data: bytes) -> Any:
    message = discovery_pb2.DiscoveryResponse.FromString(data)
    rows = []
    for one in message.resources:
        said = json_format.MessageToDict(one)
        body = one.SerializeToString(deterministic=True)
        rows.append({"name": said["name"], "version": "", "hex": body.hex()})
    return {
        "incremental": False,
        "type": _type_name(message.type_url),
        "version": message.version_info,
        "nonce": message.nonce,
        "resources": rows,
        "removed": [],
    }


def _discovery_request(message: Any, read: Callable[[Any, Any], Any], data: bytes) -> Any:
    found = message.FromString(data)
    request = read(RESOURCE_TYPES[_type_name(found.type_url)], found)
    return {
        "type": next(
            name for name, kind in RESOURCE_TYPES.items() if kind is request.resource_type
        ),
        "names": list(request.resource_names),
        "gone": list(request.unsubscribe),
        "nonce": request.response_nonce,
        "error": request.error_detail,
        "version": request.version_info,
        "held": dict(request.initial_resource_versions),
    }


def _write_set_version(plain: Any) -> bytes:
    """One version for a set of resources, which proxies tell again after a restart."""
    held = {name: Resource(name, version, b"") for name, version in plain["held"].items()}
    return make_version_info(RESOURCE_TYPES[plain["type"]], held).encode()


WRITERS: dict[str, Callable[[Any], bytes]] = {
    "stream": _write_stream,
    "version": _write_version,
    "answer": _write_answer,
    "plain-list": _write_plain_list,
    "target": lambda plain: listform.canonical_json(plain).encode(),
    "question": _write_question,
    "http-answer": _write_http_answer,
    "changes-answer": _write_changes_answer,
    "log-answer": _write_log_answer,
    "stub-cluster": lambda plain: stub_cluster(plain["name"]).body,
    "discovery-answer": _write_discovery_answer,
    "incremental-discovery-answer": _write_discovery_answer,
    "set-version": _write_set_version,
}
READERS: dict[str, Callable[[bytes], Any]] = {
    "stream": _read_stream,
    "version": _read_version,
    "answer": _read_answer,
    "target": lambda data: json.loads(listform.row_from_target(json.loads(data)).body),
    "question": _read_question,
    "operator-call": _read_operator_call,
    "backends-file": _read_backends_file,
    "nodes-file": lambda data: _read_lines("nodes_file", "nodes", "node-spec", data),
    "services-file": lambda data: _read_lines("services_file", "services", "service-spec", data),
    "control-file": _read_control_file,
    "discovery-answer": _read_complete_answer,
    "incremental-discovery-answer": _read_incremental_answer,
    "discovery-request": lambda data: _discovery_request(
        discovery_pb2.DiscoveryRequest, decode_request, data
    ),
    "incremental-discovery-request": lambda data: _discovery_request(
        discovery_pb2.DeltaDiscoveryRequest, decode_delta_request, data
    ),
}
