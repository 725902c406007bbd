"""The HTTP interface of a control machine for operators: its state, its log, and changes.

    GET /status                      the machine's state as JSON
    GET /log?region=R&from=VERSION   committed changes after a version, limited in size
    POST /changes                    a JSON array of changes; answered once they are committed

A connection carries one call at a time, of limited size. The machine produces the responses.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, Protocol

from loadbalancer.sources.http_get import parse_decimal
from loadbalancer.sources.watchers import MAX_REQUEST_BYTES, Query, ServerConnection

MAX_CALLERS = 64  # connections of operators

Reply = Callable[[int, bytes], None]  # HTTP status and body


class OperatorResponse(NamedTuple):
    """The response to one call."""

    status: int  # HTTP status
    body: bytes


class OperatedMachine(Protocol):
    """The methods of a control machine that operators can call."""

    def status(self) -> dict[str, Any]:
        """Return the machine's state."""

    def log_after(self, region: str, version: int) -> OperatorResponse:
        """Return committed changes after a version."""

    def submit(self, body: bytes, reply: Reply) -> None:
        """Propose the changes in a request body; `reply` is called exactly once."""


class OperatorHost:
    """The request handler that all operators' connections to one machine share."""

    max_connections = MAX_CALLERS

    def __init__(self, machine: OperatedMachine, max_change_bytes: int) -> None:
        """`max_change_bytes` limits the body of one POST /changes."""
        self.connections = 0
        self.machine = machine
        self.max_change_bytes = max_change_bytes
        self._pending: set[OperatorConnection] = set()

    def is_waiting(self, caller: OperatorConnection) -> bool:
        """Return whether the connection's last call is still unanswered."""
        return caller in self._pending

    def cancel(self, caller: OperatorConnection) -> None:
        """Drop the connection's pending call without an answer."""
        self._pending.discard(caller)

    def submit(self, connection: OperatorConnection, body: bytes) -> None:
        """Submit changes to the machine, and send the response if the call is still pending."""
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
        """Append a part of the call's body; its size is limited together with the head's."""
        self._body += body

    def on_request(self, method: bytes, path: str, query: Query) -> None:
        """Answer a complete call."""
        body, self._body = self._body, b""
        if (method, path) == (b"POST", "/changes"):
            self.host.submit(self, body)
        elif method != b"GET":
            text = b"use GET /status, GET /log or POST /changes"
            self.reject(HTTPStatus.METHOD_NOT_ALLOWED, text)
        elif path == "/status":
            self.reply(HTTPStatus.OK, json.dumps(self.host.machine.status()).encode())
        elif path == "/log":
            self._log(query)
        else:
            self.reply(HTTPStatus.NOT_FOUND, b"use /status, /log or /changes")

    def _log(self, query: Query) -> None:
        version = parse_decimal(query.get("from", ["0"])[0])
        if version is None:
            self.reply(HTTPStatus.BAD_REQUEST, b"from must be a non-negative integer")
            return
        self.reply(*self.host.machine.log_after(query.get("region", [""])[0], version))
