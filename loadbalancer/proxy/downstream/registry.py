"""All connections of clients by their state, and which of them go when there is no room."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from loadbalancer.proxy.downstream.request import HeadChecker

if TYPE_CHECKING:
    from loadbalancer.proxy.lifecycle import Service
    from loadbalancer.proxy.ports import ClientHost

REST_SWEEPS = 9  # without a request, after which a connection may be closed for room
LOOK_S = 0.05  # between looks whether those that are not read from have ended their sending
FRESH_SWEEPS = 1  # for a new connection's first bytes, while clients are sent away
FLOOD_PART = 4  # one silent connection in so many is a flood of them
IDLE_PART = 0.5  # of the room for clients, above which the oldest resting ones go
REST_PART = 0.2  # of all descriptors, above which an answer ends its connection


class Connection(asyncio.Protocol, ABC):
    """What the registry asks of one connection."""

    __slots__ = ()

    @abstractmethod
    def age(self) -> int:
        """Sweeps since it came up, or was last busy."""

    @abstractmethod
    def close(self) -> None:
        """End it at rest."""

    @abstractmethod
    def cut_off(self) -> None:
        """Close without the client's end, once its last answer has left."""

    @abstractmethod
    def finished(self) -> bool:
        """Whether a stop need not wait for it."""

    @abstractmethod
    def look(self) -> None:
        """While it is not read from: learn all the same that the client has gone."""

    @abstractmethod
    def resting(self) -> bool:
        """Whether it can be closed without harm: nothing under way either way."""

    @abstractmethod
    def sweep(self, sweep: int) -> None:
        """Give up a client that has stopped sending or taking bytes."""


class ConnectionRegistry:
    """The connections of all clients, and what each of them needs of its surroundings."""

    def __init__(self, node: ClientHost, service: Service) -> None:
        self.node = node
        self.service = service
        self.heads = HeadChecker(node)
        self.connections: set[Connection] = set()
        # At rest, longest first: those that have asked, and those that never have.
        self.idle: dict[Connection, None] = {}
        self.fresh: dict[Connection, None] = {}
        # Ended by us: since when, and whether it had never said anything.
        self.lingering: dict[Connection, tuple[float, bool]] = {}
        self.unread: dict[Connection, None] = {}  # reading is paused
        self._looks = False
        self.sweeps = 0
        self.most_at_rest = int(REST_PART * node.config.sockets)

    def sweep(self) -> None:
        """One more sweep: clients that have stopped sending or taking bytes are given up."""
        self.sweeps += 1
        for conn in list(self.connections):
            conn.sweep(self.sweeps)
        self.make_room()

    def finished(self) -> bool:
        """Whether none holds anything that a stop must wait for."""
        return all(conn.finished() for conn in self.connections)

    def look_after(self, conn: Connection) -> None:
        """Look at a connection that is not read from, for its client's end."""
        self.unread[conn] = None
        if not self._looks:
            self._looks = True
            self.node.loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        for conn in list(self.unread):
            conn.look()
        self._looks = bool(self.unread)
        if self._looks:
            self.node.loop.call_later(LOOK_S, self._look)

    def crowded(self) -> bool:
        """Whether so many connections rest that a further one is not kept.

        Guards against clients that ask once and keep their connection: closed only
        after REST_SWEEPS, they held all places for clients while those with a
        request waited unaccepted, and that looked like refusals with idle backends.
        An end that comes with the answer crosses no request, so it may come at
        once. No hysteresis: each end frees one place, and the number at rest stays
        at the mark. Does harm where more clients than that ask again and again:
        those beyond it pay a new connection for every request.
        """
        return len(self.idle) > self.most_at_rest

    def drop_oldest(self, accepting: int) -> bool:
        """End the client connection that has rested longest; False where none may go.

        Before those that have asked go those that never have, once they had a
        moment to: hundreds that say nothing must not push out clients that do. But
        where few are silent the oldest at rest goes at once, or those that ask once
        and stay would hold all places for seconds each. `accepting`: those that are
        accepted and not among the connections yet.
        """
        # Those just ended count too: with each batch of them gone, a flood would look over.
        ended = sum(silent for _, silent in self.lingering.values())
        silent = len(self.fresh) + accepting + ended
        rested = REST_SWEEPS if silent * FLOOD_PART > self.node.clients else 0
        return self._drop(self.fresh, 1) or self._drop(self.idle, rested)

    def _drop(self, conns: dict[Connection, None], least: int) -> bool:
        for conn in conns:
            if conn.age() < least:
                return False
            if conn.resting():
                conn.close()
                return True
        return False

    def make_room(self) -> None:
        """Close the oldest resting connections before there is want of descriptors.

        Guards against clients that keep connections and never ask again: at the
        limit each new client would wait for one of them to be closed. One that
        asks just then has to ask once more on a new connection.
        """
        surplus = self.node.clients - int(IDLE_PART * self.node.most_clients())
        while surplus > 0 and self._drop(self.idle, REST_SWEEPS):
            surplus -= 1

    def send_away(self, now: int) -> None:
        """Close idle connections as the state has it, those that rest longest first.

        One on which a request lies unread is no longer idle. One that has only just
        come up is left its moment: the front's own question is about to be on it.
        """
        rest = [*self.idle, *(conn for conn in self.fresh if conn.age() > FRESH_SWEEPS)]
        for conn in rest[: self.service.to_close(now, len(rest))]:
            if conn.resting():
                conn.close()

    def close_resting(self) -> None:
        """Close every connection on which nothing is under way."""
        for conn in [*self.idle, *self.fresh]:
            if conn.resting():
                conn.close()
