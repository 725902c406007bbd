"""The decisions on the simulator's wire: `python -m loadbalancer.simulator.adapter`.

Batches of events come on standard input and one reply a batch goes to standard output. Each event
is handed to the Balancer of the instance that it names; what that Balancer calls for is packed
into the reply in the order of the calls. Nothing is decided here, and instances share nothing.
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
    """One instance: its Balancer (None where it could not be made) and its actions."""

    balancer: Balancer | None
    actions: InstanceActions


class Adapter:
    """All instances of one process, and the numbered endpoint lists that updates refer to.

    Methods named `_on_...` read one record at an offset, hand it on, and return the next offset.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[Listing, ...]] = {}
        self._reply: list[bytes] = []
        self._readers: dict[int, Callable[[int, bytes, int], int]] = {
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
        """Handle a batch's records; returns the reply's record count and body.

        Args:
            now: the batch's clock in nanoseconds.
            count: how many records the body has.
            body: the records.

        Raises:
            WireError: where the body is not so many known records.
        """
        self._reply.clear()
        at = 0
        readers = self._readers
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
        return len(self._reply), b"".join(self._reply)

    # ---- instances -----------------------------------------------------

    def _on_start(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.START
        _, number, seed, size = layout.unpack_from(body, at)
        begin = at + layout.size
        end: int = begin + size
        if end > len(body):
            raise WireError("the settings are cut short")
        try:
            settings = settings_from_json(body[begin:end])
        except SettingsError as err:
            raise WireError(str(err)) from None
        actions = InstanceActions(number, self._reply)
        self.instances[number] = Instance(None, actions)
        try:
            balancer = Balancer(settings, seed, actions)
            self.instances[number] = Instance(balancer, actions)
            balancer.start(now)
        except Exception as err:  # noqa: BLE001  # any fault of a decision goes into the report
            _report_fault(actions, err)
        return end

    def _on_stop(self, _now: int, body: bytes, at: int) -> int:
        layout = wire_format.STOP
        _, number = layout.unpack_from(body, at)
        self.instances.pop(number, None)
        return at + layout.size

    def _on_timer(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.TIMER
        _, number, token = layout.unpack_from(body, at)
        self._call(number, Balancer.on_timer, now, token)
        return at + layout.size

    # ---- the endpoint list ----------------------------------------------

    def _on_endpoint_list(self, _now: int, body: bytes, at: int) -> int:
        layout = wire_format.ENDPOINT_LIST
        _, list_number, rows = layout.unpack_from(body, at)
        begin = at + layout.size
        end: int = begin + wire_format.LIST_ROW.size * rows
        if end > len(body):
            raise WireError("a list is cut short")
        entries = []
        for row in wire_format.LIST_ROW.iter_unpack(body[begin:end]):
            cell, zone, backend, state, kind, boot, rating = row
            if state > wire_format.MAX_LIST_STATE:
                raise WireError(f"unknown backend state {state}")
            entries.append(Listing(backend, State(state), zone, cell, kind, boot, rating))
        self._lists[list_number] = tuple(entries)
        return end

    def _on_list_update(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.LIST_UPDATE
        _, number, kind, _version, list_number = layout.unpack_from(body, at)
        if kind > wire_format.MAX_UPDATE_KIND:
            raise WireError(f"unknown list mode {kind}")
        entries: tuple[Listing, ...] = ()
        if kind != Update.FAILED:
            if list_number not in self._lists:
                raise WireError(f"list {list_number} was never given")
            entries = self._lists[list_number]
        self._call(number, Balancer.on_members, now, Update(kind), entries)
        return at + layout.size

    # ---- requests and attempts --------------------------------------------

    def _on_request(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.REQUEST
        _, number, request, class_number, tenant, key, remaining, hint, flags = layout.unpack_from(
            body, at
        )
        hint = hint if flags & wire_format.HINT_VALID else 0
        retry = flags & wire_format.CLIENT_RETRY != 0
        self._call(
            number, Balancer.on_request, now,
            request, class_number, remaining, tenant, key, hint, retry,
        )  # fmt: skip
        return at + layout.size

    def _on_client_disconnected(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.CLIENT_DISCONNECTED
        _, number, request = layout.unpack_from(body, at)
        self._call(number, Balancer.on_client_disconnected, now, request)
        return at + layout.size

    def _on_response_started(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.RESPONSE_STARTED
        _, number, request, attempt, _backend, duration = layout.unpack_from(body, at)
        self._call(number, Balancer.on_response_started, now, request, attempt, duration)
        return at + layout.size

    def _on_outcome(self, now: int, body: bytes, at: int) -> int:
        layout = wire_format.OUTCOME
        _, number, request, _backend, complete, attempt, duration, code, figures = (
            layout.unpack_from(body, at)
        )
        _check_outcome(code)
        end = at + layout.size
        load = struct.unpack_from(f">{figures}f", body, end) if figures else ()
        self._call(
            number, Balancer.on_outcome, now, request, attempt, code, duration, complete != 0, load
        )
        return end + wire_format.FLOAT_BYTES * int(figures)

    def _on_probe_outcome(self, _now: int, body: bytes, at: int) -> int:
        """Skip a health check's outcome: the decisions request none."""
        layout = wire_format.PROBE_OUTCOME
        _, _number, _backend, _duration, code, figures = layout.unpack_from(body, at)
        _check_outcome(code)
        end: int = at + layout.size + wire_format.FLOAT_BYTES * figures
        if end > len(body):
            raise WireError("a record is cut short")
        return end

    def _on_peer_message(self, _now: int, body: bytes, at: int) -> int:
        """Skip a message of another instance: none is sent on the simulator."""
        layout = wire_format.PEER_MESSAGE
        _, _number, _peer, size = layout.unpack_from(body, at)
        end: int = at + layout.size + size
        if end > len(body):
            raise WireError("a note is cut short")
        return end

    def _call(self, number: int, method: Callable[..., None], now: int, *args: Any) -> None:
        """Hand one event to an instance's Balancer; one of an unknown instance is skipped.

        A decision that raises is reported on the wire for that instance alone: the others go on.
        """
        instance = self.instances.get(number)
        if instance is None or instance.balancer is None:
            return
        try:
            method(instance.balancer, now, *args)
        except Exception as err:  # noqa: BLE001  # any fault of a decision goes into the report
            _report_fault(instance.actions, err)


def _check_outcome(code: int) -> None:
    if not wire_format.MIN_OUTCOME <= code <= wire_format.MAX_OUTCOME:
        raise WireError(f"unknown outcome {code}")


def _report_fault(actions: InstanceActions, err: Exception) -> None:
    """Report what a decision raised, and at which line."""
    trace = err.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    where = f" at line {trace.tb_lineno}" if trace is not None else ""
    actions.fault(f"{type(err).__name__}: {err}{where}")


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read so many bytes, or fewer where the input ends."""
    data = stream.read(size)
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: on anything malformed.
    """
    adapter = Adapter()
    header = wire_format.BATCH_HEADER
    while True:
        head = _read_exactly(stdin, header.size)
        if not head:
            return
        if len(head) < header.size:
            raise WireError("a frame's header is cut short")
        batch, count, size, now = header.unpack(head)
        body = _read_exactly(stdin, size)
        if len(body) < size:
            raise WireError("a frame is cut short")
        records, reply = adapter.handle_batch(now, count, body)
        stdout.write(wire_format.REPLY_HEADER.pack(batch, records, len(reply)) + reply)
        stdout.flush()


def main() -> int:
    """Serve standard input; 0 at its end, 2 where it is malformed, 1 where nobody reads."""
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
