"""Tests of the simulator adapter: batches as hand-written bytes, and malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from loadbalancer.simulator.adapter import Adapter, serve
from loadbalancer.simulator.wire_format import WireError
from tests.harness import ROOT

SETTINGS = {
    "balancers": 2,
    "me": 1,
    "classes": [
        {"target": 200_000_000, "deadline": 1_000_000_000, "effect": "pure"},
        {"target": 200_000_000, "deadline": 1_000_000_000, "effect": "side_effect"},
    ],
    "limits": {"max_attempts": 3},
    "rules": {"drain_grace": 1_000_000_000},
    "something_new": {"a": 1},
}


def start_record(instance: int = 3, settings: object = None) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return bytes.fromhex("11") + struct.pack(">IQI", instance, 77, len(text)) + text


def endpoint_list(*backends: int) -> bytes:
    head = bytes.fromhex("17 0000") + struct.pack(">I", len(backends))
    row = "0001 00 {:08x} 01 0000 0000000000000000 3f800000"
    return head + b"".join(bytes.fromhex(row.format(b)) for b in backends)


LIST_UPDATE = bytes.fromhex("12 00000003 02 00000029 0000")
REQUEST = bytes.fromhex(
    "18 00000003 5d3a91c4 0000 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01"
)
OUTCOME_OK = bytes.fromhex("16 00000003 5d3a91c4 03124a07 01 0000 00000000011a49a0 01 00")
STOP = bytes.fromhex("13 00000003")
PROBE_OUTCOME = bytes.fromhex("19 00000003 2c9011f2 0000000000155cc0 01 00")


def batch(*records: bytes, number: int = 1, now: int = 8_411_168_656) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIIQ", number, len(records), len(body), now) + body


def replies(data: bytes) -> list[bytes]:
    out = io.BytesIO()
    serve(io.BytesIO(data), out)
    raw, found = out.getvalue(), []
    while raw:
        size = struct.unpack(">III", raw[:12])[2]
        found.append(raw[: 12 + size])
        raw = raw[12 + size :]
    return found


def test_an_empty_batch_gets_an_empty_reply() -> None:
    data = bytes.fromhex("00000001 00000000 00000000 00000001f568bf90")
    assert replies(data) == [bytes.fromhex("00000001 00000000 00000000")]


def test_a_request_is_sent_with_the_expected_bytes() -> None:
    out = replies(batch(start_record(), endpoint_list(0x03124A07), LIST_UPDATE, REQUEST))[0]
    sent = [r for r in records(out) if r[0] == 16]
    assert len(sent) == 1
    assert sent[0][:9] == bytes.fromhex("10 00000003 5d3a91c4")
    assert sent[0][17:] == bytes.fromhex("03124a07")
    assert 0 < int.from_bytes(sent[0][9:17], "big") <= 0x0E4E1C00


def records(reply: bytes) -> list[bytes]:
    sizes = {16: 21, 17: 17, 18: 9, 19: 11, 20: 21, 21: 9, 26: 6, 27: 5}
    raw, found = reply[12:], []
    while raw:
        size = sizes[raw[0]] if raw[0] in sizes else 7 + struct.unpack(">H", raw[5:7])[0]
        found.append(raw[:size])
        raw = raw[size:]
    assert len(found) == struct.unpack(">I", reply[4:8])[0]
    return found


def test_a_stop_and_a_start_in_one_batch_begin_with_empty_state() -> None:
    first = batch(start_record(), endpoint_list(0x03124A07), LIST_UPDATE, REQUEST)
    second = batch(
        STOP, start_record(), endpoint_list(0x03124A07), LIST_UPDATE, OUTCOME_OK, REQUEST, number=2
    )
    out = replies(first + second)
    assert [r[0] for r in records(out[1]) if r[0] == 16] == [16]


def test_unknown_ids_are_ignored() -> None:
    client_disconnected = bytes.fromhex("14 00000003 0e6f2b19")
    timer = bytes.fromhex("10 00000003 000000000000004d")
    unknown_instance = bytes.fromhex("10 00000009 000000000000004d")
    probe_outcome_with_load = PROBE_OUTCOME[:-1] + b"\2" + bytes(8)
    peer_message = bytes.fromhex("1a 00000003 00000002 0004 68692037")
    response_started = bytes.fromhex("15 00000003 5d3a91c4 0000 03124a07 00000000008d24d0")
    ignored = (
        OUTCOME_OK,
        client_disconnected,
        timer,
        unknown_instance,
        PROBE_OUTCOME,
        probe_outcome_with_load,
        peer_message,
        response_started,
    )
    assert (
        records(
            replies(
                batch(start_record(), endpoint_list(1), LIST_UPDATE) + batch(*ignored, number=2)
            )[1]
        )
        == []
    )


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0",
        batch(REQUEST)[:-4],
        batch(b"\x63"),
        batch(REQUEST[:-2]),
        batch(LIST_UPDATE),
        batch(start_record(settings={"classes": []})),
        batch(start_record(settings=[1])),
        batch(endpoint_list(1)[:-3]),
        batch(PROBE_OUTCOME[:-1] + b"\3"),  # announces load values that are missing
        batch(PROBE_OUTCOME[:-2] + b"\0\0"),  # not an outcome code
    ],
)
def test_malformed_input_is_refused(data: bytes) -> None:
    with pytest.raises(WireError):
        serve(io.BytesIO(data), io.BytesIO())


def run(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "loadbalancer.simulator.adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        env={"PYTHONHASHSEED": seed},
        check=False,
    )


def test_the_process_reports_malformed_input_in_one_line() -> None:
    process = run(batch(b"\x63"))
    assert process.returncode == 2
    assert process.stdout == b""
    assert process.stderr.decode().splitlines() == ["loadbalancer: unknown event code 99"]


def test_the_output_does_not_depend_on_the_hash_seed() -> None:
    requests = [REQUEST[:5] + struct.pack(">I", i) + REQUEST[9:] for i in range(50)]
    data = batch(start_record(), endpoint_list(*range(100, 140)), LIST_UPDATE) + batch(
        *requests, number=2
    )
    one, two = run(data, "1"), run(data, "2")
    assert one.returncode == two.returncode == 0
    assert one.stdout == two.stdout
    assert len(one.stdout) > 500


def test_an_exception_of_the_balancer_becomes_a_fault_record() -> None:
    unknown_class = REQUEST[:9] + bytes.fromhex("0063") + REQUEST[11:]
    out = records(replies(batch(start_record(), endpoint_list(1), LIST_UPDATE, unknown_class))[0])
    assert out[-1][:5] == bytes.fromhex("19 00000003")
    assert b"unknown request class 99" in out[-1]


def test_instances_share_no_state() -> None:
    adapter = Adapter()
    body = start_record(3) + start_record(4) + endpoint_list(1) + LIST_UPDATE
    adapter.handle_batch(1, 4, body)
    assert adapter.instances[3].balancer is not adapter.instances[4].balancer
    balancer = adapter.instances[4].balancer
    assert balancer is not None
    assert not balancer.endpoints
