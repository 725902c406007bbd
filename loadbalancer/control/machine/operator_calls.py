"""Operators' HTTP calls to a control machine: its state, its log, and submitted changes.

    GET /status                      the machine's state as JSON
    GET /log?region=R&from=VERSION   committed changes after a version, a bounded number of them
    POST /changes                    a JSON array of changes; answered once they are committed

One call at a time on a connection, bounded in size; the machine gives the answers.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol

from loadbalancer.sources.http_get import parse_decimal
from loadbalancer.sources.watchers import MAX_REQUEST_BYTES, Query, ServerConnection

MAX_CALLERS = 64

Reply = Callable[[int, bytes], None]  # HTTP status and body


class OperatorResponse(NamedTuple):
    """The answer to one call."""

    status: int  # of HTTP
    body: bytes


class OperatedMachine(Protocol):
    """A machine as its operators' calls see it."""

    def status(self) -> dict[str, Any]:
        """Its state."""

    def log_after(self, region: str, version: int) -> OperatorResponse:
        """The committed changes after a version."""

    def submit(self, body: bytes, reply: Reply) -> None:
        """Propose the changes in a body; `reply` is called once."""


class OperatorHost:
    """What all operators' connections to one machine share."""

    max_connections = MAX_CALLERS

    def __init__(self, machine: OperatedMachine, max_change_bytes: int) -> None:
        """`max_change_bytes` bounds the body of one POST /changes."""
        self.connections = 0
        self.machine = machine
        self.max_change_bytes = max_change_bytes
        self._pending: set[OperatorConnection] = set()

    def is_waiting(self, caller: OperatorConnection) -> bool:
        """Whether the connection's last call has no answer yet."""
        return caller in self._pending

    def cancel(self, caller: OperatorConnection) -> None:
        """The connection's call needs no answer any more."""
        self._pending.discard(caller)

    def submit(self, connection: OperatorConnection, body: bytes) -> None:
        """Pass changes on to the machine, and its answer back while it is waited for."""
        self._pending.add(connection)

        def reply(status: int, text: bytes) -> None:
            if connection in self._pending:
                self._pending.discard(connection)
                connection.reply(status, text)

        self.machine.submit(body, reply)


class OperatorConnection(ServerConnection):
    """One operator's connection."""

    host: OperatorHost

    def __init__(self, host: OperatorHost) -> None:
        super().__init__(host)
        self.max_request_bytes = MAX_REQUEST_BYTES + host.max_change_bytes
        self._body = b""

    def on_body(self, body: bytes) -> None:
        """Collect a part of the call's body; its size is bounded with the head's."""
        self._body += body

    def on_request(self, method: bytes, path: str, query: Query) -> None:
        """Answer a complete call."""
        body, self._body = self._body, b""
        if (method, path) == (b"POST", "/changes"):
            self.host.submit(self, body)
        elif method != b"GET":
            text = b"GET /status, GET /log and POST /changes are there"
            self.reject(HTTPStatus.METHOD_NOT_ALLOWED, text)
        elif path == "/status":
            self.reply(HTTPStatus.OK, json.dumps(self.host.machine.status()).encode())
        elif path == "/log":
            self._log(query)
        else:
            self.reply(HTTPStatus.NOT_FOUND, b"there are /status, /log and /changes")

    def _log(self, query: Query) -> None:
        version = parse_decimal(query.get("from", ["0"])[0])
        if version is None:
            self.reply(HTTPStatus.BAD_REQUEST, b"from is a whole number")
            return
        self.reply(*self.host.machine.log_after(query.get("region", [""])[0], version))
