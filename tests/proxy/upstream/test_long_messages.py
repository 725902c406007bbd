"""Long bodies and responses, which are streamed; clients can detect truncated ones."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from tests.harness import Peer, answer, request
from tests.proxy.upstream.proxied import LONG_CONTENT, SIZE, Proxied


def read_message(peer: Peer) -> tuple[str, dict[str, str], bytes]:
    """Read a message with a Content-Length or in chunks; drops chunk extensions and trailers."""
    line, headers, got = peer.message()
    if headers.get("transfer-encoding") != "chunked":
        return line, headers, got
    out = bytearray()
    while True:
        size = int(_line(peer).split(b";")[0], 16)
        if not size:
            while _line(peer):
                pass
            return line, headers, bytes(out)
        while len(peer.buffer) < size + 2:
            assert peer.more()
        out += peer.buffer[:size]
        peer.buffer = peer.buffer[size + 2 :]


def _line(peer: Peer) -> bytes:
    while b"\r\n" not in peer.buffer:
        assert peer.more()
    first, _, peer.buffer = peer.buffer.partition(b"\r\n")
    return first


def encode_chunks(data: bytes, step: int = 50_000) -> bytes:
    parts = [data[i : i + step] for i in range(0, len(data), step)]
    return b"".join(b"%x;why=not\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nX-T: 1\r\n\r\n"


def send_in_thread(peer: Peer, data: bytes, close: bool = False) -> threading.Thread:
    """Send in a thread; it ends early if the other side closes the connection."""

    def send() -> None:
        with contextlib.suppress(OSError):
            peer.sock.sendall(data)
        if close:
            peer.close()

    thread = threading.Thread(target=send)
    thread.start()
    return thread


@pytest.mark.parametrize("way", ["length", "chunked", "expect"])
def test_a_long_body_is_forwarded_unchanged(proxied: Proxied, client: Peer, way: str) -> None:
    if way == "chunked":
        head = request("/credit", b"", Content_Length="", Transfer_Encoding="chunked")
        thread = send_in_thread(client, head + encode_chunks(LONG_CONTENT))
    elif way == "expect":
        client.send(
            request("/credit", b"", Content_Length=str(len(LONG_CONTENT)), Expect="100-continue")
        )
        assert client.message()[0] == "HTTP/1.1 100 Continue"
        thread = send_in_thread(client, LONG_CONTENT)
    else:
        thread = send_in_thread(client, request("/credit", LONG_CONTENT))
    peer = proxied.accept()
    line, headers, got = read_message(peer)
    assert line == "POST /credit HTTP/1.1"
    assert headers["x-request-id"] == "9b1f03aa5c7e2d41"
    assert got == LONG_CONTENT
    peer.send(answer(b"done"))
    assert client.message()[2] == b"done"
    thread.join()
    client.send(request())  # both connections are kept alive
    peer.message()
    peer.send(answer(b"next"))
    assert client.message()[2] == b"next"


@pytest.mark.parametrize("way", ["length", "chunked", "close"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_long_response_is_forwarded_unchanged(
    proxied: Proxied, client: Peer, way: str, version: str
) -> None:
    peer = proxied.forward(client, request().replace(b"HTTP/1.1", b"HTTP/" + version.encode()))
    if way == "length":
        thread = send_in_thread(peer, answer(LONG_CONTENT))
    elif way == "chunked":
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        thread = send_in_thread(peer, head + encode_chunks(LONG_CONTENT))
    else:
        peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        thread = send_in_thread(peer, LONG_CONTENT, close=True)
    if version == "1.0":
        head, _, got = client.ends().partition(b"\r\n\r\n")
        assert b"chunked" not in head
    else:
        _, _, got = read_message(client)
    thread.join()
    assert got == LONG_CONTENT


def test_a_slow_response_of_unknown_length_is_streamed_before_it_ends(
    proxied: Proxied, client: Peer
) -> None:
    """It stays far below the streaming threshold, but might have become longer."""
    peer = proxied.forward(client, request())
    peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    sent = 0
    client.sock.settimeout(0.01)
    while not client.buffer:
        peer.send(b"1\r\nx\r\n")
        sent += 1
        assert sent < 1000
        with contextlib.suppress(TimeoutError):
            client.more()
    client.sock.settimeout(20.0)
    peer.send(b"0\r\n\r\n")
    assert read_message(client)[2] == b"x" * sent


def test_messages_sent_byte_by_byte_in_both_directions(proxied: Proxied, client: Peer) -> None:
    for byte in request("/credit", b"slow"):
        client.send(bytes([byte]))
    peer = proxied.accept()
    assert peer.message()[2] == b"slow"
    for byte in answer(b"as slow"):
        peer.send(bytes([byte]))
    assert client.message()[2] == b"as slow"


def test_white_space_around_a_field_value_is_ignored(proxied: Proxied, client: Peer) -> None:
    peer = proxied.forward(client, request(X_Timeout_Ms="1500 \t", X_Priority_Class=" balance "))
    peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: \t2 \r\n\r\nok")
    assert client.message()[2] == b"ok"


def test_pipelined_requests_are_answered_in_order(proxied: Proxied, client: Peer) -> None:
    long = request("/credit", LONG_CONTENT, rid="a3")
    first = request(rid="a1") + request("/credit", b"x", rid="a2")
    thread = send_in_thread(client, first + long + request(rid="a4"))
    peer = proxied.accept()
    for rid in ("a1", "a2", "a3", "a4"):
        _, headers, _ = peer.message()
        assert headers["x-request-id"] == rid
        peer.send(answer(rid.encode()))
    for rid in ("a1", "a2", "a3", "a4"):
        assert client.message()[2] == rid.encode()
    thread.join()


def test_100_continue_for_a_pipelined_request_is_not_sent_within_the_previous_response(
    proxied: Proxied, client: Peer
) -> None:
    asks = request("/credit", b"", rid="a2", Content_Length="4", Expect="100-continue")
    client.send(request(rid="a1") + asks)
    peer = proxied.accept()
    assert peer.message()[1]["x-request-id"] == "a1"
    peer.send(answer(b"first"))
    line, _, got = client.message()
    assert (line, got) == ("HTTP/1.1 200 OK", b"first")
    client.send(b"body")
    assert peer.message()[2] == b"body"
    peer.send(answer(b"second"))
    assert client.message()[2] == b"second"


def test_a_streamed_response_that_breaks_off_is_truncated_and_not_retried(
    proxied: Proxied, client: Peer
) -> None:
    peer = proxied.begin_response(client)
    peer.reset()
    got = client.ends()
    assert got.count(b"HTTP/1.1") == 1
    assert len(got) < SIZE
    proxied.assert_next_request_is_served()


@pytest.mark.parametrize("way", ["stalls", "ends early"])
def test_a_response_that_stalls_or_ends_early_is_truncated(
    proxied: Proxied, client: Peer, way: str
) -> None:
    peer = proxied.forward(client, request())
    peer.send(answer(LONG_CONTENT)[: 3 * STREAMING_THRESHOLD_BYTES])
    if way == "ends early":
        peer.sock.shutdown(socket.SHUT_WR)
    got = client.ends()
    assert got.startswith(b"HTTP/1.1 200")
    assert len(got) < SIZE


@pytest.mark.parametrize("way", ["resets", "answers"])
def test_a_long_body_is_rejected_if_its_backend_fails_before_the_end(
    proxied: Proxied, client: Peer, way: str
) -> None:
    """Its first bytes are no longer buffered, so it can't be sent to another backend.

    It can't have been executed, so the client gets a 503. An early response is ignored, as it
    can't be a response to the complete request.
    """
    peer = proxied.begin_upload(client)
    if way == "resets":
        peer.reset()
    else:
        peer.send(answer(b"", "503 Service Unavailable", "X-Not-Processed: 1"))
    line, headers, _ = client.message()
    assert line == "HTTP/1.1 503 Service Unavailable"
    assert headers["connection"] == "close"
    client.close()
    if way == "answers":
        return  # the only backend is not used for a while after a 503
    proxied.assert_next_request_is_served()


def test_a_long_body_that_may_have_been_executed_gets_a_502(proxied: Proxied, client: Peer) -> None:
    thread = send_in_thread(client, request("/credit", LONG_CONTENT))
    peer = proxied.accept()
    assert peer.message()[2] == LONG_CONTENT
    peer.reset()
    assert client.message()[0] == "HTTP/1.1 502 Bad Gateway"
    thread.join()


def test_a_malformed_pipelined_request_adds_nothing_to_a_streamed_response(
    proxied: Proxied, client: Peer
) -> None:
    peer = proxied.begin_response(client)
    client.send(b"\x8a\xff\r\n\r\n")
    got = client.ends()
    assert got.count(b"HTTP/1.1") == 1
    assert len(got) < SIZE
    assert peer.ends() == b""


def test_an_upload_that_ends_early_closes_its_backend_connection_at_once(
    proxied: Proxied, client: Peer
) -> None:
    peer = proxied.begin_upload(client)
    client.sock.shutdown(socket.SHUT_WR)
    assert len(peer.ends()) < SIZE
    assert client.ends() == b""  # no 408, which is for a body that stalls


@pytest.mark.parametrize("when", ["body", "answer"])
def test_a_client_that_disconnects_midway_closes_the_backend_connection(
    proxied: Proxied, client: Peer, when: str
) -> None:
    begin = {"body": proxied.begin_upload, "answer": proxied.begin_response}
    peer = begin[when](client)
    client.reset()
    assert len(peer.ends()) < SIZE


def test_a_content_length_over_the_maximum_is_rejected_before_the_body(client: Peer) -> None:
    client.send(request("/credit", b"", Content_Length=str((32 << 20) + 1)))
    assert client.message()[0] == "HTTP/1.1 413 Content Too Large"


@pytest.mark.parametrize("proxied", [48], indirect=True)
def test_responses_larger_than_memory_are_streamed_while_small_requests_are_served(
    proxied: Proxied,
) -> None:
    """Responses that exceed the memory limit together wait for their clients to read them.

    They must neither exceed the limit nor block a small request, and each must be complete.
    """
    clients: list[Peer] = []
    threads: list[threading.Thread] = []
    for i in range(8):
        client = proxied.connect()
        peer = proxied.forward(client, request(rid=f"long{i}", timeout=2000))
        while not client.buffer:
            if not threads or len(threads) == i:
                threads.append(send_in_thread(peer, answer(LONG_CONTENT * 3)))
            assert client.more()
        clients.append(client)
    small = proxied.connect()
    peer = proxied.forward(small, request(rid="small"))
    peer.send(answer(b"served"))
    assert small.message()[2] == b"served"
    assert proxied.running.resident_mb() < 48
    for client in clients:
        assert client.message()[2] == LONG_CONTENT * 3
    for thread in threads:
        thread.join()
