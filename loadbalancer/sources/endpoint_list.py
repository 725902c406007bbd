"""Decodes the endpoint lists that discovery sends, and holds a node's current list.

Format (the platform's specification, section "Discovery"): `{"rev", "all", "targets"}`; a complete
list if `all` is true, otherwise a delta.
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
    endpoints: dict[int, Address]  # by backend; removed backends have no entry


def backend_id(uid: str) -> int:
    """Return a uid's number, which is the same at every node: slots are assigned in its order."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=ID_BYTES).digest(), "big")


class EndpointList:
    """A node's current list: its version, and the addresses and start times of the endpoints."""

    __slots__ = ("_applied_boots", "_boots", "_kinds", "_zones", "endpoints", "rev")

    def __init__(self, config: Config) -> None:
        self._zones = {name: index for index, name in enumerate(config.zones)}
        self._kinds = {name: index for index, name in enumerate(config.kinds)}
        # Each backend's start time, in wall-clock ms and monotonic ns. The list's `boot_ms` is
        # wall-clock time, and each value is converted only once: converting it again for every
        # list would give results that differ by nanoseconds and look like a restart of the backend.
        self._boots: dict[int, tuple[int, int]] = {}
        self._applied_boots: dict[int, int] = {}  # start times in the current list, monotonic ns
        self.endpoints: dict[int, Address] = {}
        self.rev = 0

    def decode(self, raw: Any) -> DecodedList:
        """Validate and decode an answer; the current list does not change.

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
            raise ListError("rev, all or targets has the wrong type")
        listings: list[Listing] = []
        endpoints: dict[int, Address] = {}
        seen: dict[str, Any] = {}
        for target in targets:
            uid = target["uid"]
            if not isinstance(uid, str) or not uid:
                raise ListError(f"{uid!r} is not a valid uid")
            if seen.setdefault(uid, target) != target:
                raise ListError(f"{uid} is listed twice with different fields")
            backend = backend_id(uid)
            state = STATES_BY_NAME[target["state"]]
            if state != State.GONE:
                endpoints[backend] = parse_address(target["endpoint"])
            listings.append(self._decode_listing(backend, state, target))
        return DecodedList(Update.FULL if complete else Update.DELTA, listings, endpoints)

    def _decode_listing(self, backend: int, state: State, target: Any) -> Listing:
        zone, cell = target.get("az"), target.get("pod_group")
        cell_is_known = cell not in (None, "") and int(cell) >= 0
        return Listing(
            backend,
            state,
            self._zones.get(zone, 0),
            int(cell) if cell_is_known else 0,
            self._kinds.get(target.get("model"), 0),
            self._boot_ns(backend, int(target.get("boot_ms") or 0)),
            float(target.get("capacity_hint") or 1.0),
            zone in self._zones,
            cell_is_known,
        )

    def _boot_ns(self, backend: int, boot_ms: int) -> int:
        """Convert a start time to monotonic ns; 0 if discovery gives none."""
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
        """Return the start time that discovery last gave for this backend in Unix ms, or 0."""
        return self._boots.get(backend, (0, 0))[0]

    def inherit(self, inherited: Inheritance) -> list[Listing]:
        """Replace the current list with that of the predecessor process; returns its listings."""
        members = inherited.members
        self.endpoints = {member.listing.backend: member.address for member in members}
        self._boots = {
            member.listing.backend: (member.boot_ms, member.listing.boot)
            for member in members
            if member.boot_ms > 0
        }
        self._applied_boots = {
            member.listing.backend: member.listing.boot for member in members if member.listing.boot
        }
        self.rev = inherited.rev
        return [member.listing for member in members]

    def apply(
        self, rev: int, update: Update, listings: list[Listing], endpoints: dict[int, Address]
    ) -> list[int]:
        """Apply a decoded list to the current one.

        Returns:
            The backends whose idle connections are stale: those that were removed, are draining,
            have a new address, or another process at the same one. A machine that vanishes closes
            no connection: a request on one to the earlier process would be reset, and count as
            possibly executed.
        """
        stale = []
        for listing in listings:
            backend = listing.backend
            old = self.endpoints.get(backend)
            new = endpoints.get(backend)
            if old is not None and (
                old != new or listing.state != State.READY or self._has_restarted(listing)
            ):
                stale.append(backend)
            if listing.boot:
                self._applied_boots[backend] = listing.boot
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

    def _has_restarted(self, listing: Listing) -> bool:
        """Whether a listing names another start time than the list so far; 0 is not known."""
        known = self._applied_boots.get(listing.backend, 0)
        return bool(known and listing.boot) and known != listing.boot

    def _remove(self, backend: int) -> None:
        self._applied_boots.pop(backend, None)
        self.endpoints.pop(backend, None)
        self._boots.pop(backend, None)
