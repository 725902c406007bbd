"""Runs Balancers for the simulator: `python -m loadbalancer.simulator.adapter`.

Batches of events arrive on standard input, and one reply per batch is written to standard output.
Each event is passed to the Balancer of the instance that it names, and the Balancer's actions are
added to the reply in the order of its calls. The adapter makes no decisions; instances share no
state.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO, NamedTuple

from loadbalancer.config.settings import SettingsError, settings_from_json
from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import Listing, State, Update
from loadbalancer.simulator import wire_format
from loadbalancer.simulator.actions import InstanceActions
from loadbalancer.simulator.wire_format import EventCode, WireError


class Instance(NamedTuple):
    """One simulated node: its Balancer (None if it could not be created) and its actions."""

    balancer: Balancer | None
    actions: InstanceActions


class Adapter:
    """The instances of this process, and the numbered endpoint lists that updates refer to.

    Methods named `_on_...` handle the record at `offset` and return the next record's offset.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[Listing, ...]] = {}
        self._reply: list[bytes] = []
        self._handlers: dict[int, Callable[[int, bytes, int], int]] = {
            EventCode.TIMER: self._on_timer,
            EventCode.START: self._on_start,
            EventCode.LIST_UPDATE: self._on_list_update,
            EventCode.STOP: self._on_stop,
            EventCode.CLIENT_DISCONNECTED: self._on_client_disconnected,
            EventCode.RESPONSE_STARTED: self._on_response_started,
            EventCode.OUTCOME: self._on_outcome,
            EventCode.ENDPOINT_LIST: self._on_endpoint_list,
            EventCode.REQUEST: self._on_request,
            EventCode.PROBE_OUTCOME: self._on_probe_outcome,
            EventCode.PEER_MESSAGE: self._on_peer_message,
        }

    def handle_batch(self, now: int, count: int, body: bytes) -> tuple[int, bytes]:
        """Handle the records of a batch; returns the reply's record count and body.

        Args:
            now: the time of the batch in nanoseconds.
            count: the number of records.
            body: the records.

        Raises:
            WireError: the body does not consist of `count` valid records.
        """
        self._reply.clear()
        offset = 0
        handlers = self._handlers
        try:
            for _ in range(count):
                handler = handlers.get(body[offset])
                if handler is None:
                    raise WireError(f"unknown event code {body[offset]}")
                offset = handler(now, body, offset)
        except (struct.error, IndexError):
            raise WireError("a record is truncated") from None
        if offset != len(body):
            raise WireError(f"{len(body) - offset} bytes follow the last record")
        return len(self._reply), b"".join(self._reply)

    def _on_start(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.START
        _, number, seed, size = layout.unpack_from(body, offset)
        start = offset + layout.size
        end: int = start + size
        if end > len(body):
            raise WireError("the settings are truncated")
        try:
            settings = settings_from_json(body[start:end])
        except SettingsError as err:
            raise WireError(str(err)) from None
        actions = InstanceActions(number, self._reply)
        self.instances[number] = Instance(None, actions)
        try:
            balancer = Balancer(settings, seed, actions)
            self.instances[number] = Instance(balancer, actions)
            balancer.start(now)
        except Exception as err:  # noqa: BLE001  # reported to the simulator as a fault
            _report_fault(actions, err)
        return end

    def _on_stop(self, _now: int, body: bytes, offset: int) -> int:
        layout = wire_format.STOP
        _, number = layout.unpack_from(body, offset)
        self.instances.pop(number, None)
        return offset + layout.size

    def _on_timer(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.TIMER
        _, number, token = layout.unpack_from(body, offset)
        self._call(number, Balancer.on_timer, now, token)
        return offset + layout.size

    def _on_endpoint_list(self, _now: int, body: bytes, offset: int) -> int:
        layout = wire_format.ENDPOINT_LIST
        _, list_number, rows = layout.unpack_from(body, offset)
        start = offset + layout.size
        end: int = start + wire_format.LIST_ROW.size * rows
        if end > len(body):
            raise WireError("an endpoint list is truncated")
        entries = []
        for row in wire_format.LIST_ROW.iter_unpack(body[start:end]):
            cell, zone, backend, state, kind, boot, rating = row
            if state > wire_format.MAX_LIST_STATE:
                raise WireError(f"unknown endpoint state {state}")
            entries.append(Listing(backend, State(state), zone, cell, kind, boot, rating))
        self._lists[list_number] = tuple(entries)
        return end

    def _on_list_update(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.LIST_UPDATE
        _, number, kind, _version, list_number = layout.unpack_from(body, offset)
        if kind > wire_format.MAX_UPDATE_KIND:
            raise WireError(f"unknown kind of list update {kind}")
        entries: tuple[Listing, ...] = ()
        if kind != Update.FAILED:
            if list_number not in self._lists:
                raise WireError(f"unknown endpoint list {list_number}")
            entries = self._lists[list_number]
        self._call(number, Balancer.on_members, now, Update(kind), entries)
        return offset + layout.size

    def _on_request(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.REQUEST
        _, number, request, class_number, tenant, key, remaining, hint, flags = layout.unpack_from(
            body, offset
        )
        hint = hint if flags & wire_format.HINT_VALID else 0
        retry = flags & wire_format.CLIENT_RETRY != 0
        self._call(
            number, Balancer.on_request, now,
            request, class_number, remaining, tenant, key, hint, retry,
        )  # fmt: skip
        return offset + layout.size

    def _on_client_disconnected(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.CLIENT_DISCONNECTED
        _, number, request = layout.unpack_from(body, offset)
        self._call(number, Balancer.on_client_disconnected, now, request)
        return offset + layout.size

    def _on_response_started(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.RESPONSE_STARTED
        _, number, request, attempt, _backend, duration = layout.unpack_from(body, offset)
        self._call(number, Balancer.on_response_started, now, request, attempt, duration)
        return offset + layout.size

    def _on_outcome(self, now: int, body: bytes, offset: int) -> int:
        layout = wire_format.OUTCOME
        _, number, request, _backend, complete, attempt, duration, code, value_count = (
            layout.unpack_from(body, offset)
        )
        _check_outcome(code)
        end = offset + layout.size
        load = struct.unpack_from(f">{value_count}f", body, end) if value_count else ()
        self._call(
            number, Balancer.on_outcome, now, request, attempt, code, duration, complete != 0, load
        )
        return end + wire_format.FLOAT_BYTES * int(value_count)

    def _on_probe_outcome(self, _now: int, body: bytes, offset: int) -> int:
        """Ignore the outcome of a health check: the Balancer requests none."""
        layout = wire_format.PROBE_OUTCOME
        _, _number, _backend, _duration, code, value_count = layout.unpack_from(body, offset)
        _check_outcome(code)
        end: int = offset + layout.size + wire_format.FLOAT_BYTES * value_count
        if end > len(body):
            raise WireError("a record is truncated")
        return end

    def _on_peer_message(self, _now: int, body: bytes, offset: int) -> int:
        """Ignore a message of another instance: instances send none under the simulator."""
        layout = wire_format.PEER_MESSAGE
        _, _number, _peer, size = layout.unpack_from(body, offset)
        end: int = offset + layout.size + size
        if end > len(body):
            raise WireError("a peer message is truncated")
        return end

    def _call(self, number: int, method: Callable[..., None], now: int, *args: Any) -> None:
        """Pass an event to an instance's Balancer; an event of an unknown instance is ignored.

        If the Balancer raises, that is reported for this instance, and the others go on.
        """
        instance = self.instances.get(number)
        if instance is None or instance.balancer is None:
            return
        try:
            method(instance.balancer, now, *args)
        except Exception as err:  # noqa: BLE001  # reported to the simulator as a fault
            _report_fault(instance.actions, err)


def _check_outcome(code: int) -> None:
    if not wire_format.MIN_OUTCOME <= code <= wire_format.MAX_OUTCOME:
        raise WireError(f"unknown outcome {code}")


def _report_fault(actions: InstanceActions, err: Exception) -> None:
    """Report an exception of a Balancer, with the line that raised it."""
    trace = err.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    location = f" at line {trace.tb_lineno}" if trace is not None else ""
    actions.fault(f"{type(err).__name__}: {err}{location}")


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer if the input ends."""
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Reply to batches until the input ends.

    Raises:
        WireError: the input is malformed.
    """
    adapter = Adapter()
    header = wire_format.BATCH_HEADER
    while True:
        head = _read_exactly(stdin, header.size)
        if not head:
            return
        if len(head) < header.size:
            raise WireError("a batch header is truncated")
        batch, count, size, now = header.unpack(head)
        body = _read_exactly(stdin, size)
        if len(body) < size:
            raise WireError("a batch is truncated")
        records, reply = adapter.handle_batch(now, count, body)
        stdout.write(wire_format.REPLY_HEADER.pack(batch, records, len(reply)) + reply)
        stdout.flush()


def main() -> int:
    """Serve standard input; returns 0 at its end, 2 if it is malformed, 1 if output is closed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
