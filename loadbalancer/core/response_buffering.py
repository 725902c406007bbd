"""How long an incomplete response is buffered, and what then becomes of it; no I/O, no clock.

A short response is sent to the client only once it is complete, so that one that turns out to be
malformed is a failed attempt, which may be followed by another. A response over the streaming
threshold is streamed from its first bytes on: what the backend still gives must not be cut off.
A response that states its length shows at once which of the two it is. One of unknown length does
not, and its sender may be slow. It is streamed

1. once its content exceeds the threshold,
2. if more of it arrives UNKNOWN_LENGTH_DELAY_NS or later after its first content,
3. at the latest when it would otherwise be given up: because nothing more arrives, or because the
   time of its attempt ends.

Times are in nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import MS, SECOND

# How long a response that is being buffered may pause, in multiples of the connect timeout.
# Within the content the limit is higher, because the sender of the content may be slow.
HEAD_TIMEOUT_FACTOR = 1
CONTENT_TIMEOUT_FACTOR = 3
# A response of unknown length is not streamed sooner because a streamed response that turns out
# to be malformed can't be retried.
UNKNOWN_LENGTH_DELAY_NS = 30 * MS
# The longest time for which a response of unknown length waits for more before it is streamed.
MAX_UNKNOWN_LENGTH_PAUSE_NS = 1 * SECOND
# It is streamed this long before its attempt's time ends, so that its first bytes are in time.
STREAMING_MARGIN_NS = 20 * MS


def head_pause(connect_timeout: int) -> int:
    """How long a response may pause within its head before its attempt fails."""
    return HEAD_TIMEOUT_FACTOR * connect_timeout


def content_pause(connect_timeout: int) -> int:
    """How long a buffered response may pause within its content before its attempt fails."""
    return CONTENT_TIMEOUT_FACTOR * connect_timeout


def unknown_length_pause(connect_timeout: int, remaining: int) -> int:
    """How long a response of unknown length may pause before it is streamed as it is.

    Args:
        connect_timeout: of the settings.
        remaining: until the time of its attempt ends; may be negative.
    """
    pause = min(content_pause(connect_timeout), MAX_UNKNOWN_LENGTH_PAUSE_NS)
    return max(min(pause, remaining - STREAMING_MARGIN_NS), 0)


def is_slow(now: int, content_began: int) -> bool:
    """Whether content of unknown length that arrives at `now` comes from a slow sender."""
    return now - content_began >= UNKNOWN_LENGTH_DELAY_NS
