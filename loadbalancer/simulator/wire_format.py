"""The simulator's wire format: codes and layouts of batches and records.

All layouts are big-endian without padding. A record is one byte with its code and the fields of
its layout, followed by its list rows, settings, values or text. The comment beside a code is the
record's name in the simulator's interface specification.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from loadbalancer.core.errors import ProtocolError


class WireError(ProtocolError):
    """The input violates the simulator's interface specification; the message says where."""


class EventCode(IntEnum):
    """Codes of records that the simulator sends."""

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
    """Codes of records sent to the simulator; other actions of the interface are not used."""

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
FLOAT_BYTES = 4  # of one value of a load report

TIMER = struct.Struct(">BIQ")  # instance, token
START = struct.Struct(">BIQI")  # instance, seed, bytes of settings
LIST_UPDATE = struct.Struct(">BIBIH")  # instance, kind, version, list
STOP = struct.Struct(">BI")  # instance
CLIENT_DISCONNECTED = struct.Struct(">BII")  # instance, request
RESPONSE_STARTED = struct.Struct(">BIIHIQ")  # instance, request, attempt, backend, duration
# Instance, request, backend, complete, attempt, duration, outcome, number of load values.
OUTCOME = struct.Struct(">BIIIBHQBB")
ENDPOINT_LIST = struct.Struct(">BHI")  # list, rows
# Instance, request, class, tenant, key, remaining, hint, flags.
REQUEST = struct.Struct(">BIIHHQQQB")
# Instance, backend, duration, outcome, number of load values.
PROBE_OUTCOME = struct.Struct(">BIIQBB")
PEER_MESSAGE = struct.Struct(">BIIH")  # instance, peer, bytes

# Flags of a request.
HINT_VALID = 1
CLIENT_RETRY = 2

MAX_LIST_STATE = 2
MAX_UPDATE_KIND = 3
MIN_OUTCOME, MAX_OUTCOME = 1, 8
