"""Frames against hand-written bytes, and what malformed input does."""

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


def hello(inst: int = 3, settings: object = None) -> bytes:
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    return bytes.fromhex("11") + struct.pack(">IQI", inst, 77, len(text)) + text


def catalog(*backends: int) -> bytes:
    head = bytes.fromhex("17 0000") + struct.pack(">I", len(backends))
    row = "0001 00 {:08x} 01 0000 0000000000000000 3f800000"
    return head + b"".join(bytes.fromhex(row.format(b)) for b in backends)


MEMBERS = bytes.fromhex("12 00000003 02 00000029 0000")
ACCEPT = bytes.fromhex(
    "18 00000003 5d3a91c4 0000 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01"
)
OK = bytes.fromhex("16 00000003 5d3a91c4 03124a07 01 0000 00000000011a49a0 01 00")
STOP = bytes.fromhex("13 00000003")
PROBED = bytes.fromhex("19 00000003 2c9011f2 0000000000155cc0 01 00")


def frame(*records: bytes, seq: int = 1, now: int = 8_411_168_656) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIIQ", seq, len(records), len(body), now) + body


def replies(data: bytes) -> list[bytes]:
    out = io.BytesIO()
    serve(io.BytesIO(data), out)
    raw, found = out.getvalue(), []
    while raw:
        size = struct.unpack(">III", raw[:12])[2]
        found.append(raw[: 12 + size])
        raw = raw[12 + size :]
    return found


def test_empty_batch() -> None:
    data = bytes.fromhex("00000001 00000000 00000000 00000001f568bf90")
    assert replies(data) == [bytes.fromhex("00000001 00000000 00000000")]


def test_request_is_submitted_with_its_bytes() -> None:
    out = replies(frame(hello(), catalog(0x03124A07), MEMBERS, ACCEPT))[0]
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


def test_kill_and_start_in_one_batch_begins_with_nothing() -> None:
    first = frame(hello(), catalog(0x03124A07), MEMBERS, ACCEPT)
    second = frame(STOP, hello(), catalog(0x03124A07), MEMBERS, OK, ACCEPT, seq=2)
    out = replies(first + second)
    assert [r[0] for r in records(out[1]) if r[0] == 16] == [16]


def test_unknown_ids_are_ignored() -> None:
    departed = bytes.fromhex("14 00000003 0e6f2b19")
    timer = bytes.fromhex("10 00000003 000000000000004d")
    stranger = bytes.fromhex("10 00000009 000000000000004d")
    reporting = PROBED[:-1] + b"\2" + bytes(8)
    note = bytes.fromhex("1a 00000003 00000002 0004 68692037")
    started = bytes.fromhex("15 00000003 5d3a91c4 0000 03124a07 00000000008d24d0")
    every = (OK, departed, timer, stranger, PROBED, reporting, note, started)
    assert records(replies(frame(hello(), catalog(1), MEMBERS) + frame(*every, seq=2))[1]) == []


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0",
        frame(ACCEPT)[:-4],
        frame(b"\x63"),
        frame(ACCEPT[:-2]),
        frame(MEMBERS),
        frame(hello(settings={"classes": []})),
        frame(hello(settings=[1])),
        frame(catalog(1)[:-3]),
        frame(PROBED[:-1] + b"\3"),  # figures that are not there
        frame(PROBED[:-2] + b"\0\0"),  # no outcome has this code
    ],
)
def test_malformed_input_is_named(data: bytes) -> None:
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


def test_process_ends_with_one_plain_line() -> None:
    done = run(frame(b"\x63"))
    assert done.returncode == 2
    assert done.stdout == b""
    assert done.stderr.decode().splitlines() == ["loadbalancer: unknown event code 99"]


def test_a_clean_end_and_nothing_that_depends_on_the_hash_seed() -> None:
    many = [ACCEPT[:5] + struct.pack(">I", i) + ACCEPT[9:] for i in range(50)]
    data = frame(hello(), catalog(*range(100, 140)), MEMBERS) + frame(*many, seq=2)
    one, two = run(data, "1"), run(data, "2")
    assert one.returncode == two.returncode == 0
    assert one.stdout == two.stdout
    assert len(one.stdout) > 500


def test_exception_in_a_decision_becomes_the_bug_record() -> None:
    bad = ACCEPT[:9] + bytes.fromhex("0063") + ACCEPT[11:]
    out = records(replies(frame(hello(), catalog(1), MEMBERS, bad))[0])
    assert out[-1][:5] == bytes.fromhex("19 00000003")
    assert b"unknown request class 99" in out[-1]


def test_instances_share_nothing() -> None:
    adapter = Adapter()
    body = hello(3) + hello(4) + catalog(1) + MEMBERS
    adapter.handle_batch(1, 4, body)
    assert adapter.instances[3].balancer is not adapter.instances[4].balancer
    four = adapter.instances[4].balancer
    assert four is not None
    assert not four.endpoints
