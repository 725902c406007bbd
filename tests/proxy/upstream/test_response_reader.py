"""The response reader in isolation: it is fed bytes, and its state and attributes checked."""

from __future__ import annotations

import pytest

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from loadbalancer.core.http_framing import MAX_FRAMING_EXCESS_BYTES
from loadbalancer.proxy.flow_control import MAX_MESSAGE_BYTES
from loadbalancer.proxy.upstream.response_reader import (
    COMPLETE,
    CONTENT,
    HEAD,
    MALFORMED,
    MAX_HEAD_BYTES,
    MAX_INTERIM_BYTES,
    ResponseReader,
    ResponseState,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def read(data: bytes) -> ResponseReader:
    """Return a reader that has been fed these bytes in one call."""
    reader = ResponseReader()
    reader.feed(data)
    return reader


def test_a_complete_response_sets_the_attributes_and_keeps_the_connection_alive() -> None:
    reader = read(
        b"HTTP/1.1 200 OK\r\nContent-Length: \t2 \r\nContent-Type: text/plain\r\n"
        b"X-Server-Load: rif=3\r\n\r\nok"
    )
    assert reader.state is COMPLETE
    assert (reader.status, reader.length, reader.size) == (200, 2, 2)
    assert (reader.content_type, reader.load_report) == (b"text/plain", b"rif=3")
    assert reader.keep_alive
    assert reader.take_chunks() == [b"ok"]
    assert reader.take_chunks() == []


@pytest.mark.parametrize(
    ("data", "state"),
    [
        (b"", HEAD),
        (b"HTTP/1.1 200 OK\r\nContent-", HEAD),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", CONTENT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", CONTENT),
        (OK, COMPLETE),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", COMPLETE),
        (b"HTTP/1.1 200 OK\r\nConnection: keep-alive, Close\r\n\r\nok", CONTENT),
        (b"HTTP/1.1 200 OK\r\n\r\nok", MALFORMED),  # can't be told from a failed connection
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_MESSAGE_BYTES + 1), MALFORMED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_MESSAGE_BYTES, CONTENT),
        (b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * MAX_HEAD_BYTES, MALFORMED),
        (b"\x8a\x00noise\r\n\r\n", MALFORMED),
    ],
)
def test_state_after(data: bytes, state: ResponseState) -> None:
    assert read(data).state is state


def test_a_response_fed_byte_by_byte_is_read_alike() -> None:
    reader = ResponseReader()
    for byte in OK:
        assert reader.state is not COMPLETE
        reader.feed(bytes([byte]))
    assert reader.state is COMPLETE
    assert b"".join(reader.take_chunks()) == b"ok"


@pytest.mark.parametrize("trailing", [b"\x8a\x00noise", OK, b"HTTP/1.1 408 Requ"])
def test_bytes_after_a_response_are_not_part_of_it_and_prevent_keep_alive(trailing: bytes) -> None:
    """They would be taken for the response to the next request on this connection."""
    reader = read(OK + trailing)
    assert reader.state is COMPLETE
    assert reader.take_chunks() == [b"ok"]
    assert not reader.keep_alive


INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Server-Load: rif=9\r\n\r\n"


@pytest.mark.parametrize("count", [1, 8, 9, 500])
def test_interim_responses_are_skipped_however_many_come(count: int) -> None:
    """The ninth interim response was taken for the final one, and the connection was reused.

    The final response, still due, was then taken for the response to another client's request.
    """
    together = read(INTERIM * count + OK)
    apart = ResponseReader()
    for _ in range(count):
        apart.feed(INTERIM)
        assert (apart.state, apart.keep_alive, apart.head_begun) == (HEAD, False, False)
    apart.feed(OK)
    for reader in (together, apart):
        assert (reader.state, reader.status, reader.load_report) == (COMPLETE, 200, b"")
        assert reader.keep_alive
        assert reader.take_chunks() == [b"ok"]


def test_interim_responses_without_end_are_malformed() -> None:
    reader = ResponseReader()
    for _ in range(MAX_INTERIM_BYTES // len(INTERIM)):
        reader.feed(INTERIM)
        assert reader.state is HEAD
    reader.feed(INTERIM)
    assert (reader.state, reader.keep_alive) == (MALFORMED, False)


def test_a_head_begun_after_an_interim_response_is_told_apart_from_none() -> None:
    """Only a head that has begun is expected to go on soon."""
    reader = read(INTERIM)
    assert not reader.head_begun
    reader.feed(OK[:3])
    assert reader.head_begun


@pytest.mark.parametrize("status", [7, 99, 101, 600, 999])
def test_a_status_that_ends_no_request_prevents_keep_alive(status: int) -> None:
    """It is unknown whether a response is still due: it would be taken for another's."""
    reader = read(b"HTTP/1.1 %03d Odd\r\nContent-Length: 0\r\n\r\n" % status)
    assert (reader.state, reader.status, reader.keep_alive) == (COMPLETE, status, False)


def test_switching_protocols_is_a_final_response_without_keep_alive() -> None:
    reader = read(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n")
    assert (reader.state, reader.status) == (COMPLETE, 101)
    assert not reader.keep_alive


@pytest.mark.parametrize("status", [b"200 OK", b"500 Oops"])
@pytest.mark.parametrize("endless", [b"0\r\nX-Note: ", b"0\r\nX-", b"0;", b"5;name="])
def test_framing_without_end_is_malformed(status: bytes, endless: bytes) -> None:
    """A trailer section without end took the process over its memory limit.

    The parser held the incomplete field, and no limit counted it.
    """
    head = b"HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" % status
    reader = read(head + endless)
    for _ in range(MAX_FRAMING_EXCESS_BYTES // 1024 - 1):
        reader.feed(b"a" * 1024)
    assert reader.state is CONTENT
    reader.feed(b"a" * 2048)
    assert reader.state is MALFORMED
    assert read(head + endless + b"a" * 10 * MAX_FRAMING_EXCESS_BYTES).state is MALFORMED


def test_chunks_of_one_byte_are_no_excess() -> None:
    reader = read(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(MAX_FRAMING_EXCESS_BYTES // 8):
        reader.feed(b"1\r\nk\r\n" * 8)
    reader.feed(b"0\r\nX-Sum: 1\r\n\r\n")
    assert (reader.state, reader.size) == (COMPLETE, MAX_FRAMING_EXCESS_BYTES)


def test_the_content_of_an_error_response_is_counted_and_dropped() -> None:
    size = STREAMING_THRESHOLD_BYTES
    head = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: %d\r\n\r\n"
    reader = read(head % size + b"e" * size)
    assert (reader.state, reader.status, reader.size) == (COMPLETE, 503, size)
    assert reader.not_processed
    assert reader.take_chunks() == []
    assert read(head % (size + 1) + b"e" * (size + 1)).state is MALFORMED


@pytest.mark.parametrize(
    ("head", "completes"),
    [
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n", False),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n", False),
        (b"HTTP/1.1 500 Oops\r\n\r\n", True),
    ],
)
def test_end_of_stream_completes_only_responses_of_unknown_length(
    head: bytes, completes: bool
) -> None:
    """A response with a length or in chunks that ends early is truncated, not complete."""
    reader = read(head + b"ok")
    assert reader.feed_eof() is completes
    assert (reader.state is COMPLETE) is completes
    assert not reader.keep_alive


def test_reset_clears_the_previous_response() -> None:
    reader = read(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
    reader.reset()
    assert (reader.state, reader.status, reader.not_processed) == (HEAD, 0, False)
    reader.feed(OK)
    assert (reader.state, reader.status, reader.length) == (COMPLETE, 200, 2)


def test_a_closed_reader_ignores_further_bytes() -> None:
    reader = ResponseReader()
    reader.close()
    reader.feed(OK)
    assert reader.state is HEAD
