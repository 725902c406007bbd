"""Encodes the actions of a Balancer as records of the reply to the simulator."""

from __future__ import annotations

import struct

from loadbalancer.simulator.wire_format import ActionCode

MAX_TEXT_BYTES = 500

_SEND = struct.Struct(">BIIQI").pack
_REJECT = struct.Struct(">BIIQ").pack
_FAIL = struct.Struct(">BII").pack
_CANCEL = struct.Struct(">BIIH").pack
_SET_TIMER = struct.Struct(">BIQQ").pack
_TEXT = struct.Struct(">BIH").pack
_WATCH = struct.Struct(">BIB").pack

# Plain integers, because struct packing would convert an enum member on each call.
SEND, REJECT, FAIL, CANCEL = (
    int(code) for code in (ActionCode.SEND, ActionCode.REJECT, ActionCode.FAIL, ActionCode.CANCEL)
)
SET_TIMER, LOG, FAULT, WATCH = (
    int(code) for code in (ActionCode.SET_TIMER, ActionCode.LOG, ActionCode.FAULT, ActionCode.WATCH)
)


class InstanceActions:
    """Implements `core.balancing.model.Actions`: appends a record per call to the reply."""

    __slots__ = ("_instance", "_reply")

    def __init__(self, instance: int, reply: list[bytes]) -> None:
        self._instance = instance
        self._reply = reply

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send an attempt; `timeout` is in nanoseconds."""
        self._reply.append(_SEND(SEND, self._instance, request, timeout, backend))

    def refuse(self, request: int, retry_after: int) -> None:
        """Reject a request; the client may retry after `retry_after` nanoseconds."""
        self._reply.append(_REJECT(REJECT, self._instance, request, retry_after))

    def fail(self, request: int) -> None:
        """Respond that a request has failed."""
        self._reply.append(_FAIL(FAIL, self._instance, request))

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt."""
        self._reply.append(_CANCEL(CANCEL, self._instance, request, attempt))

    def set_timer(self, token: int, due: int) -> None:
        """Set a timer for `due`, in nanoseconds."""
        self._reply.append(_SET_TIMER(SET_TIMER, self._instance, token, due))

    def watch(self) -> None:
        """Watch the endpoint list."""
        self._reply.append(_WATCH(WATCH, self._instance, 1))

    def log(self, text: str) -> None:
        """Add a line to the simulator's log."""
        self._append_text(LOG, text)

    def fault(self, text: str) -> None:
        """Report that the Balancer raised an exception."""
        self._append_text(FAULT, text)

    def _append_text(self, code: int, text: str) -> None:
        data = text.encode()[:MAX_TEXT_BYTES]
        self._reply.append(_TEXT(code, self._instance, len(data)) + data)
