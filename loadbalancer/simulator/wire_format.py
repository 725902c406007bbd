"""The simulator's frames and records: codes and layouts, big-endian and without padding.

Each code's comment has the name that the interface's page gives it. A record is its code in one
byte and the fields of its layout; lists, settings and texts follow it.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from loadbalancer.core.errors import ProtocolError


class WireError(ProtocolError):
    """The input is not what the interface's page describes; the text says where."""


class EventCode(IntEnum):
    """Records that the simulator sends."""

    TIMER = 16  # TIMEOUT_FIRED
    START = 17  # HELLO
    LIST_UPDATE = 18  # DIRECTORY_UPDATE
    STOP = 19  # STOP
    CLIENT_DISCONNECTED = 20  # LEFT
    RESPONSE_STARTED = 21  # STARTED
    OUTCOME = 22  # RESOLVED
    ENDPOINT_LIST = 23  # CATALOG
    REQUEST = 24  # ACCEPT
    PROBE_OUTCOME = 25  # PROBE_DONE
    PEER_MESSAGE = 26  # NOTE_FROM


class ActionCode(IntEnum):
    """Records that are sent to it; of the interface's others the decisions call for none."""

    SEND = 16  # SUBMIT_TO
    REJECT = 17  # TURN_AWAY
    FAIL = 18  # DROP_REQUEST
    CANCEL = 19  # WITHDRAW
    SET_TIMER = 20  # SCHEDULE
    LOG = 24  # EMIT
    FAULT = 25  # BUG
    WATCH = 26  # WATCH


# Batch number, record count, bytes that follow, clock in nanoseconds; a reply has no clock.
BATCH_HEADER = struct.Struct(">IIIQ")
REPLY_HEADER = struct.Struct(">III")
# One row of an endpoint list: cell, zone, backend, state, kind, boot, rating.
LIST_ROW = struct.Struct(">HBIBHQf")
FLOAT_BYTES = 4  # of a load report's figures

TIMER = struct.Struct(">BIQ")  # instance, token
START = struct.Struct(">BIQI")  # instance, seed, bytes of settings
LIST_UPDATE = struct.Struct(">BIBIH")  # instance, kind, version, list
STOP = struct.Struct(">BI")  # instance
CLIENT_DISCONNECTED = struct.Struct(">BII")  # instance, request
RESPONSE_STARTED = struct.Struct(">BIIHIQ")  # instance, request, attempt, backend, duration
# Instance, request, backend, complete, attempt, duration, outcome, figures.
OUTCOME = struct.Struct(">BIIIBHQBB")
ENDPOINT_LIST = struct.Struct(">BHI")  # list, rows
# Instance, request, class, tenant, key, remaining, hint, flags.
REQUEST = struct.Struct(">BIIHHQQQB")
PROBE_OUTCOME = struct.Struct(">BIIQBB")  # instance, backend, duration, outcome, figures
PEER_MESSAGE = struct.Struct(">BIIH")  # instance, peer, bytes

# Flags of a request.
HINT_VALID = 1
CLIENT_RETRY = 2

MAX_LIST_STATE = 2
MAX_UPDATE_KIND = 3
MIN_OUTCOME, MAX_OUTCOME = 1, 8
