"""Operators' calls to a control machine: its state, its log, and changes handed in.

    GET /status                      the machine's state as JSON
    GET /log?region=R&from=VERSION   accepted changes after a version, some at a time
    POST /changes                    a JSON array of changes; answered once they are accepted

One call at a time on a connection, bounded in size; the answers are the machine's.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from loadbalancer.sources.http_get import whole_number
from loadbalancer.sources.watchers import MAX_HEAD, Caller, Query

MOST_CALLERS = 64

Reply = Callable[[int, bytes], None]


class Operated(Protocol):
    """The machine, as its operators' calls see it."""

    def status(self) -> dict[str, Any]:
        """Its state."""

    def log_after(self, region: str, version: int) -> tuple[int, bytes]:
        """HTTP status and body: the accepted changes after a version."""

    def change(self, body: bytes, reply: Reply) -> None:
        """Changes handed in; `reply` is called once."""


class Calls:
    """The host of all `Call`s at one machine."""

    most_watchers = MOST_CALLERS

    def __init__(self, machine: Operated, most_bytes: int) -> None:
        self.connections = 0
        self.machine = machine
        self.most_bytes = most_bytes
        self._waiting: set[Call] = set()

    def waits(self, caller: Call) -> bool:
        return caller in self._waiting

    def forget(self, caller: Call) -> None:
        self._waiting.discard(caller)

    def change(self, call: Call, body: bytes) -> None:
        """Pass on a change, and its answer when there is one."""
        self._waiting.add(call)

        def reply(status: int, text: bytes) -> None:
            if call in self._waiting:
                self._waiting.discard(call)
                call.reply(status, text)

        self.machine.change(body, reply)


class Call(Caller):
    """One operator's connection."""

    host: Calls

    def __init__(self, host: Calls) -> None:
        super().__init__(host)
        self.most_bytes = MAX_HEAD + host.most_bytes
        self._body = b""

    def on_body(self, body: bytes) -> None:
        self._body += body

    def question(self, method: bytes, path: str, query: Query) -> None:
        body, self._body = self._body, b""
        if (method, path) == (b"POST", "/changes"):
            self.host.change(self, body)
        elif method != b"GET":
            self.give_up(405, b"GET /status, GET /log and POST /changes are there")
        elif path == "/status":
            self.reply(200, json.dumps(self.host.machine.status()).encode())
        elif path == "/log":
            self._log(query)
        else:
            self.reply(404, b"there are /status, /log and /changes")

    def _log(self, query: Query) -> None:
        version = whole_number(query.get("from", ["0"])[0])
        if version is None:
            self.reply(400, b"from is a whole number")
            return
        self.reply(*self.host.machine.log_after(query.get("region", [""])[0], version))
