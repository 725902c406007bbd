"""Where an HTTP/1.1 response ends, for all that read responses; no I/O.

Sources: RFC 9110, section 15.2 (interim responses); RFC 9112, section 6.3 (length of the content).
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
