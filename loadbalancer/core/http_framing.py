"""Where an HTTP/1.1 response ends, and how much a message may have beside its content; no I/O.

Sources: RFC 9110, section 15.2 (interim responses); RFC 9112, sections 6.3 (length of the content)
and 7.1 (chunks).
"""

from __future__ import annotations

# Statuses followed by another response. 101 is not one of them: what follows it is another
# protocol.
INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
# Statuses of a response that is the last one to its request. A connection is reused only after one
# of these: after any other status it is unknown whether a response is still due.
FINAL_STATUSES = range(200, 600)


def ends_with_stream(has_length: bool, has_transfer_encoding: bool) -> bool:
    """Return whether a response's content goes on until an orderly end of the stream.

    A reset ends no response. Content that was cut short in an orderly way looks complete: the
    caller has to find that out by other means.

    Args:
        has_length: whether there is a Content-Length.
        has_transfer_encoding: whether there is a Transfer-Encoding, whichever it names. One that
            doesn't end in chunked would end with the stream too, but its content is coded, which
            no request of this program asks for.
    """
    return not has_length and not has_transfer_encoding


# What a chunk may have beside its content without counting as excess, in bytes: the line with its
# size, and the ends of both lines.
CHUNK_ALLOWANCE_BYTES = 16
# Beside that, twice the content's size may be chunk extensions.
CONTENT_ALLOWANCE_FACTOR = 2
MAX_FRAMING_EXCESS_BYTES = 16 << 10


class FramingExcess:
    """Counts what the chunks of one message have beside their content, and limits it.

    That is the chunks' sizes and extensions, and the trailer section. None of it is content, so
    no limit on content applies, and a parser may hold an incomplete trailer field in memory:
    without this limit, a field without end exhausts the process's memory. Chunks of any size are
    allowed. The rule is that of Go's net/http (CVE-2023-39326).
    """

    __slots__ = ("_excess",)

    def __init__(self) -> None:
        self._excess = 0

    def add(self, read_bytes: int, content_bytes: int, pieces: int) -> bool:
        """Count one read of the message; returns whether it is still within the limit.

        Args:
            read_bytes: size of what was read, with its content.
            content_bytes: size of the content in it.
            pieces: number of chunks, or parts of chunks, that the content consists of.
        """
        overhead = read_bytes - content_bytes
        allowance = CHUNK_ALLOWANCE_BYTES * pieces + CONTENT_ALLOWANCE_FACTOR * content_bytes
        self._excess = max(self._excess + overhead - allowance, 0)
        return self._excess <= MAX_FRAMING_EXCESS_BYTES
