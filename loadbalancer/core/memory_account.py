"""One account of all that peers make this process hold, and what is done as it fills; no I/O.

Each holder of a peer's bytes reserves them here and releases them: connections, heads, content,
responses, and what a transport could not write. The rest of the process is `base_bytes`, measured
by the host. What the limit leaves beyond it is `capacity_bytes`.

As in Envoy's overload manager, each action has a threshold of its own:

| threshold | action |
| --- | --- |
| buffered bytes over `soft_limit` | short reads, no windows, content waits, responses stream |
| heads over `soft_limit` / HEADS_DIVISOR | a head over SMALL_HEAD_BYTES is rejected with 503 |
| total, with content to come, over `capacity_bytes` | content, or such a head, is rejected |
| total over `overload_bytes` | any request is rejected with 503, no connection to a backend opens |
| connections over UPLOADS_FRACTION of the capacity | a long upload is rejected with 503 |
| connections over IDLE_FRACTION of the capacity | a new one to a backend replaces an idle one |
| connections over CONNECTIONS_FRACTION of the capacity | no client is accepted; idle ones close |
| resident memory over SHRINK_FRACTION of the limit | the allocator returns free memory |

Connections come off the capacity before the soft limit is derived from it, so that many of them
leave less for each.
"""

from __future__ import annotations

from enum import Enum, IntEnum

MB = 1 << 20
# Estimated memory of objects, without the bytes of their peers.
CLIENT_CONNECTION_BYTES = 5 << 10
UPSTREAM_CONNECTION_BYTES = 8 << 10  # with its attempt
REQUEST_BYTES = 1280
EXPECTED_BASE_BYTES = 32 * MB  # of the process, until it has been measured
# For what is held for a moment only (a read that is parsed, a message that is put together) and for
# gaps between what the allocator has given out.
MIN_MARGIN_BYTES = MB
MARGIN_DIVISOR = 16  # of the limit
OVERLOAD_MARGIN_DIVISOR = 4  # of the margin, the part that small requests may take
MIN_CAPACITY_BYTES = 2 * MB  # so that a node that is given too little serves at all
MIN_SOFT_LIMIT_BYTES = MB // 2
SOFT_LIMIT_DIVISOR = 2
HEADS_DIVISOR = 2
SMALL_HEAD_BYTES = 2 << 10  # heads up to this size are not limited in number
MAX_SMALL_CONTENT_BYTES = 16 << 10  # largest content that never waits
CONNECTIONS_FRACTION = 0.75
# Less than CONNECTIONS_FRACTION: a client that is rejected may come again, and one that is not
# accepted waits until its time is over.
UPLOADS_FRACTION = 0.6
IDLE_FRACTION = 0.5
SHRINK_FRACTION = 0.85
MIN_SHRINK_BYTES = MB  # growth of the base that is worth the time of returning free memory


class Holder(IntEnum):
    """What holds bytes of peers."""

    CONNECTIONS = 0
    INCOMPLETE_HEADS = 1
    REQUEST_HEADS = 2  # complete ones, until their requests are forgotten
    CONTENT = 3  # of requests, buffered whole
    FLOWS = 4  # long messages, with what their sinks could not write
    RESPONSES = 5  # incomplete ones that are buffered
    UNSENT = 6  # messages that a transport could not write
    REQUESTS = 7  # objects of requests, from their complete heads until they are forgotten


class Pressure(Enum):
    """How full the account is, by the actions in force."""

    NONE = "none"
    HIGH = "high"  # over the soft limit
    FULL = "full"  # over the capacity


class MemoryAccount:
    """Counts the bytes of each holder against the memory limit of the node.

    `processes`: of the node at the moment; those of an upgrade share its limit.
    """

    __slots__ = (
        "_descriptors", "_limit_bytes", "_processes", "base_bytes", "buffered", "capacity_bytes",
        "held", "most_buffered", "overload_bytes", "rejected", "small_content_bytes",
        "soft_limit", "start_base_bytes",
    )  # fmt: skip

    def __init__(self, limit_mb: int, descriptors: int = 1) -> None:
        self._limit_bytes = limit_mb * MB
        self._descriptors = descriptors
        self._processes = 1
        self.held = [0] * len(Holder)
        self.buffered = 0  # of all holders but connections
        self.most_buffered = 0  # at a time, so far
        self.rejected = 0  # requests, for lack of memory
        self.start_base_bytes = self.base_bytes = EXPECTED_BASE_BYTES
        self._derive_limits()

    @property
    def total(self) -> int:
        """The bytes of all holders."""
        return self.buffered + self.held[Holder.CONNECTIONS]

    def reserve(self, holder: Holder, size: int) -> None:
        """Count `size` more bytes of a holder, or fewer if it is negative."""
        self.held[holder] += size
        self.buffered += size
        self.most_buffered = max(self.buffered, self.most_buffered)

    def reserve_request(self, head_bytes: int) -> None:
        """Count a request whose head is complete."""
        self.reserve(Holder.REQUEST_HEADS, head_bytes)
        self.reserve(Holder.REQUESTS, REQUEST_BYTES)

    def add_connections(self, size: int) -> None:
        """Count a connection of this size, or with a negative one its end."""
        self.held[Holder.CONNECTIONS] += size
        self._derive_limits()

    def begin(self, resident_bytes: int) -> None:
        """Take over the resident memory of the process before it has any peer."""
        self.start_base_bytes = self.base_bytes = resident_bytes
        self._derive_limits()

    def measure(self, resident_bytes: int) -> None:
        """Take over the resident memory: what no holder accounts for belongs to the base."""
        self.base_bytes = max(self.start_base_bytes, resident_bytes - self.total)
        self._derive_limits()

    def share_limit(self, processes: int) -> None:
        """Divide the limit among this many processes of the node."""
        self._processes = processes
        self._derive_limits()

    def may_shrink(self, resident_bytes: int) -> bool:
        """Whether the allocator should return its free memory to the system."""
        grown = resident_bytes - self.total - self.start_base_bytes
        return resident_bytes > SHRINK_FRACTION * self.limit_bytes and grown > MIN_SHRINK_BYTES

    @property
    def limit_bytes(self) -> int:
        """The limit of this process."""
        return self._limit_bytes // self._processes

    def _derive_limits(self) -> None:
        margin = max(self.limit_bytes // MARGIN_DIVISOR, MIN_MARGIN_BYTES)
        free = self.limit_bytes - self.base_bytes - margin
        self.capacity_bytes = max(free, MIN_CAPACITY_BYTES)
        self.overload_bytes = self.capacity_bytes + margin // OVERLOAD_MARGIN_DIVISOR
        left = self.capacity_bytes - self.held[Holder.CONNECTIONS]
        self.soft_limit = max(left // SOFT_LIMIT_DIVISOR, MIN_SOFT_LIMIT_BYTES)
        # Content of up to this size never waits, even if each connection has one.
        self.small_content_bytes = min(
            MAX_SMALL_CONTENT_BYTES, self.soft_limit // self._descriptors
        )

    def is_exceeded(self) -> bool:
        """Whether more than the soft limit is buffered."""
        return self.buffered > self.soft_limit

    def pressure(self) -> Pressure:
        """How full the account is."""
        if self.total > self.capacity_bytes:
            return Pressure.FULL
        return Pressure.HIGH if self.buffered > self.soft_limit else Pressure.NONE

    def may_accept_client(self) -> bool:
        """Whether there is memory for one more client's connection."""
        connections = self.held[Holder.CONNECTIONS] + CLIENT_CONNECTION_BYTES
        return connections <= CONNECTIONS_FRACTION * self.capacity_bytes

    def must_replace_idle(self) -> bool:
        """Whether a further connection to a backend has to replace an idle one."""
        return self.held[Holder.CONNECTIONS] > IDLE_FRACTION * self.capacity_bytes

    def may_open_upstream(self) -> bool:
        """Whether there is memory for one more connection to a backend, with its attempt.

        Small requests alone can fill the memory: hundreds of clients send one each at once, and an
        attempt takes more than the request.
        """
        return self.total + UPSTREAM_CONNECTION_BYTES <= self.overload_bytes

    def has_too_many_heads(self) -> bool:
        """Whether heads take more memory than they may.

        Clients that send heads slowly, or no content after them, can each have the largest one.
        """
        heads = self.held[Holder.INCOMPLETE_HEADS] + self.held[Holder.REQUEST_HEADS]
        return heads > self.soft_limit // HEADS_DIVISOR

    def may_begin(self, head_bytes: int, has_content: bool, is_upload: bool = False) -> bool:
        """Whether a request may begin whose head has been read and is counted already.

        Args:
            head_bytes: of the head.
            has_content: whether it has content that is not small.
            is_upload: whether its content is forwarded as it comes. Uploads that stall would take
                what clients' connections need, and no more clients would be accepted.
        """
        is_small = head_bytes <= SMALL_HEAD_BYTES
        if not self.may_open_upstream():
            return False
        if not is_small and self.has_too_many_heads():
            return False
        connections = self.held[Holder.CONNECTIONS] + UPSTREAM_CONNECTION_BYTES
        if is_upload and connections > UPLOADS_FRACTION * self.capacity_bytes:
            return False
        if is_small and not has_content:
            return True
        return self.total + self.promised_bytes() <= self.capacity_bytes

    def promised_bytes(self) -> int:
        """The bytes that requests which have begun are still going to hold."""
        return 0

    def report(self) -> str:
        """The account in one line, in KB."""
        parts = (f"{h.name.lower().replace('_', ' ')} {self.held[h] >> 10}" for h in Holder)
        return (
            f"held in KB: {', '.join(parts)}, total {self.total >> 10}, most "
            f"buffered {self.most_buffered >> 10}; base "
            f"{self.base_bytes >> 10}, soft limit {self.soft_limit >> 10}, capacity "
            f"{self.capacity_bytes >> 10} KB"
        )
