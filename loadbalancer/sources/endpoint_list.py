"""The endpoint list as discovery sends it, decoded, and the one that a node has at present.

Source: the platform's protocol, "Discovery": `{"rev", "all", "targets"}`, complete where `all` is
true, else a delta.
"""

from __future__ import annotations

import time
from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.config.address import Address, parse_address
from loadbalancer.config.node import Config
from loadbalancer.core import Listing, State, Update
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.errors import ProtocolError

if TYPE_CHECKING:
    from loadbalancer.upgrade.handed_state import Inheritance

LIST_PATH = "/registry/instances"
ID_BYTES = 8
STATES_BY_NAME = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}


class ListError(ProtocolError, ValueError):
    """An endpoint list that can't be used."""


class DecodedList(NamedTuple):
    """A complete list or a delta, decoded but not yet applied."""

    update: Update
    listings: list[Listing]
    endpoints: dict[int, Address]  # by backend; none for a backend that was removed


def backend_id(uid: str) -> int:
    """A number for a uid, the same at every node: slots are dealt in its order."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=ID_BYTES).digest(), "big")


class EndpointList:
    """The present list: its version, the endpoints' addresses, and their start times."""

    __slots__ = ("_boots", "_kinds", "_zones", "endpoints", "rev")

    def __init__(self, config: Config) -> None:
        self._zones = {name: index for index, name in enumerate(config.zones)}
        self._kinds = {name: index for index, name in enumerate(config.kinds)}
        # Wall-clock ms and monotonic ns of each backend's start. `boot_ms` is wall clock, and each
        # value is converted once: converted again with every list it would differ by some
        # nanoseconds and look like a restart of the backend.
        self._boots: dict[int, tuple[int, int]] = {}
        self.endpoints: dict[int, Address] = {}
        self.rev = 0

    def decode(self, raw: Any) -> DecodedList:
        """Check and decode an answer; the present list does not change.

        Raises:
            ListError: the answer is malformed.
        """
        try:
            return self._decode_answer(raw)
        except (KeyError, TypeError, ValueError, OverflowError) as err:
            raise ListError(f"{type(err).__name__}: {err}") from None

    def _decode_answer(self, raw: Any) -> DecodedList:
        rev, complete, targets = raw["rev"], raw["all"], raw["targets"]
        if type(rev) is not int or not isinstance(complete, bool) or type(targets) is not list:
            raise ListError("rev, all or targets is of the wrong type")
        listings: list[Listing] = []
        endpoints: dict[int, Address] = {}
        seen: dict[str, Any] = {}
        for target in targets:
            uid = target["uid"]
            if not isinstance(uid, str) or not uid:
                raise ListError(f"{uid!r} is no uid")
            if seen.setdefault(uid, target) != target:
                raise ListError(f"{uid} stands twice, with different words")
            backend = backend_id(uid)
            state = STATES_BY_NAME[target["state"]]
            if state != State.GONE:
                endpoints[backend] = parse_address(target["endpoint"])
            listings.append(self._decode_listing(backend, state, target))
        return DecodedList(Update.FULL if complete else Update.DELTA, listings, endpoints)

    def _decode_listing(self, backend: int, state: State, target: Any) -> Listing:
        return Listing(
            backend,
            state,
            self._zones.get(target.get("az"), 0),
            int(target.get("pod_group") or 0),
            self._kinds.get(target.get("model"), 0),
            self._boot_ns(backend, int(target.get("boot_ms") or 0)),
            float(target.get("capacity_hint") or 1.0),
        )

    def _boot_ns(self, backend: int, boot_ms: int) -> int:
        """A start time on the monotonic clock in ns, 0 where discovery gives none."""
        if boot_ms <= 0:
            return 0
        known = self._boots.get(backend)
        if known is not None and known[0] == boot_ms:
            return known[1]
        age_ns = max(time.time_ns() - boot_ms * MS, 0)
        boot_ns = (time.monotonic_ns() - age_ns) or 1
        self._boots[backend] = (boot_ms, boot_ns)
        return boot_ns

    def boot_ms(self, backend: int) -> int:
        """What discovery last gave as this backend's start in Unix ms, 0 where it gave none."""
        return self._boots.get(backend, (0, 0))[0]

    def inherit(self, inherited: Inheritance) -> list[Listing]:
        """Replace the present list by a predecessor's; returns its listings."""
        members = inherited.members
        self.endpoints = {member.listing.backend: member.address for member in members}
        self._boots = {
            member.listing.backend: (member.boot_ms, member.listing.boot)
            for member in members
            if member.boot_ms > 0
        }
        self.rev = inherited.rev
        return [member.listing for member in members]

    def apply(
        self, rev: int, update: Update, listings: list[Listing], endpoints: dict[int, Address]
    ) -> list[int]:
        """Make a decoded list the present one.

        Returns:
            The backends whose idle connections are of no more use: removed, draining, or at
            another address than before.
        """
        stale = []
        for listing in listings:
            backend = listing.backend
            old = self.endpoints.get(backend)
            new = endpoints.get(backend)
            if old is not None and (old != new or listing.state != State.READY):
                stale.append(backend)
            if new is None:
                self._remove(backend)
            else:
                self.endpoints[backend] = new
        if update == Update.FULL:
            for backend in [backend for backend in self.endpoints if backend not in endpoints]:
                stale.append(backend)
                self._remove(backend)
        self.rev = rev
        return stale

    def _remove(self, backend: int) -> None:
        self.endpoints.pop(backend, None)
        self._boots.pop(backend, None)
