"""Watches the resident memory of this process, and reports when memory is short."""

from __future__ import annotations

import ctypes
import importlib
import logging
import os
from typing import TYPE_CHECKING

from loadbalancer.core.memory_account import Pressure

if TYPE_CHECKING:
    from loadbalancer.core.memory_account import MemoryAccount

logger = logging.getLogger(__name__)

SWEEPS_BETWEEN_LINES = 4  # at least, on rejected requests

STATM = "/proc/self/statm"
RESIDENT_FIELD = 1  # of statm, in pages (proc(5))
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TRIM = getattr(ctypes.CDLL(None), "malloc_trim", None)  # of glibc alone
# Modules that the event loop imports with its first connection to an address.
IMPORTED_BY_EVENT_LOOP = ("encodings.idna",)
CONSEQUENCES = {
    Pressure.NONE: "all is read again",
    Pressure.HIGH: "reads are short, long messages and content wait",
    Pressure.FULL: "requests with content or long heads are rejected with 503",
}


def resident_bytes() -> int:
    """The resident memory of this process; 0 if the system doesn't tell."""
    try:
        with open(STATM, encoding="ascii") as file:
            return int(file.read().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def return_free_memory() -> None:
    """Let the allocator return its free memory to the system, where it has such a call."""
    if TRIM is not None:
        TRIM(0)


class MemoryWatch:
    """Compares the account with the resident memory, and logs changes of the pressure."""

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._pressure = Pressure.NONE
        self._logged_rejections = 0
        self._quiet_sweeps = 0  # since the last line
        self.peak_bytes = 0

    def begin(self) -> None:
        """Measure the process before it has any peer.

        What it imports later would count as held by peers, and be loaded when memory is short.
        """
        for module in IMPORTED_BY_EVENT_LOOP:
            importlib.import_module(module)
        resident = resident_bytes()
        if resident:
            self._account.begin(resident)

    def sweep(self) -> None:
        """Measure, return free memory if much of it is held, and log what has changed."""
        account = self._account
        resident = resident_bytes()
        if not resident:
            return
        self.peak_bytes = max(self.peak_bytes, resident)
        if account.may_shrink(resident):
            return_free_memory()
            resident = resident_bytes() or resident
        account.measure(resident)
        self._log_changes(resident)

    def _log_changes(self, resident: int) -> None:
        account = self._account
        pressure, rejected = account.pressure(), account.rejected - self._logged_rejections
        self._quiet_sweeps += 1
        if pressure is not self._pressure:
            logger.info(
                "memory pressure is %s, was %s: %s; resident %d of %d KB, %s",
                pressure.value,
                self._pressure.value,
                CONSEQUENCES[pressure],
                resident >> 10,
                account.limit_bytes >> 10,
                account.report(),
            )
            self._pressure = pressure
        elif rejected and self._quiet_sweeps > SWEEPS_BETWEEN_LINES:
            logger.info(
                "rejected %d requests with 503 for lack of memory: resident %d of %d KB, %s",
                rejected,
                resident >> 10,
                account.limit_bytes >> 10,
                account.report(),
            )
            self._logged_rejections = account.rejected
        else:
            return
        self._quiet_sweeps = 0

    def report(self) -> str:
        """The account and the resident memory, for the admin address."""
        account = self._account
        return (
            f"resident {resident_bytes() >> 10} KB, peak of sweeps {self.peak_bytes >> 10} KB, "
            f"limit {account.limit_bytes >> 10} KB; pressure {account.pressure().value}; "
            f"{account.rejected} requests rejected; base at the start "
            f"{account.start_base_bytes >> 10}, {account.report()}\n"
        )
