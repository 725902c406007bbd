"""One client's connection: its requests in turn, their answers, its patience and its end."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios
import time

from loadbalancer.proxy.downstream.reader import RequestReader
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.downstream.request import IncomingRequest
from loadbalancer.proxy.downstream.responses import EMPTY, READY, REASONS, TEXT
from loadbalancer.proxy.flow_control import MAX_MESSAGE_BYTES, Flow

SWEEP_S = 0.25  # from one sweep over all connections to the next
# Patience with clients, in sweeps: a node that was stopped for a while must not
# take its own absence for the clients'.
WHOLE_SWEEPS = 9  # for the first byte of a connection
HEAD_SWEEPS = 10  # for a whole request, from its first byte on ...
SWEEP_BYTES = 8 << 10  # ... and one more for each so many bytes of its body
STALL_SWEEPS = 20  # for a server to take more of a long body
WRITE_SWEEPS = 40  # without a byte taken
LINGER_SWEEPS = 4

QUEUED = struct.Struct("i")
ABORTIVE = struct.pack("ii", 1, 0)  # SO_LINGER: the connection's end is a reset
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def sending_has_ended(sock: socket.socket) -> bool:
    """Whether the peer has ended its sending, also behind bytes that nobody has read yet."""
    try:
        if sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
            return True
        poll = select.poll()
        poll.register(sock, ENDED)
        return bool(poll.poll(0))
    except BlockingIOError:
        return False
    except OSError:
        return True


class ClientConnection(RequestReader):
    """One client's connection, with one request on it at a time."""

    __slots__ = (
        "_endless", "_eof", "_flow", "_keep_alive", "_lingering", "_long_end", "_old", "_progress",
        "_write_since",
    )  # fmt: skip

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        super().__init__(registry, sock)
        self._flow: Flow | None = None  # of a long answer
        self._long_end = b""  # what closes it, where it goes in chunks
        self._endless = False  # it ends with its connection, and says nowhere how long it is
        self._old = False  # the open request came by HTTP/1.0
        self._keep_alive = True
        self._eof = False
        self._lingering = False
        self._write_since = 0
        self._progress = (0, 0)

    def _begin(self, incoming: IncomingRequest) -> None:
        self._keep_alive = incoming.keep_alive
        self._old = incoming.old
        node = self._registry.node
        if incoming.probe:
            ready = self._registry.service.asked_ready(time.monotonic_ns())
            self._write_head(READY if ready else EMPTY[503])
            return
        if incoming.label in node.labels or incoming.label in node.others:
            # Another client's, still open: with two under one id a backend could
            # take either's answer for the other's.
            self._give_back(incoming)
            self._reject(409)
            return
        waited = time.monotonic_ns() - incoming.received
        # Set first: the answer may come before the call returns.
        request = node.request(self, incoming, waited)
        if request is None:
            self._give_back(incoming)
            self.respond_empty(503, 0)
        elif not request.ended:
            self._request = request

    # ---- answering ----------------------------------------------------

    def respond(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """The whole answer of a backend."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        self._write_head(head, chunks)

    def respond_empty(self, status: int, retry_after: int) -> None:
        """An answer without a body; `retry_after` in nanoseconds, 0 for none."""
        head = EMPTY[status]
        if retry_after:
            head += b"Retry-After: %.3f\r\n" % (retry_after / 1e9)
        self._write_head(head)

    def begin_streaming(self, content_type: bytes, length: int, flow: Flow) -> None:
        """A backend's answer that is passed on as it comes; a length under 0 is not known."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if length >= 0:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % length
        elif self._old:
            head = b"HTTP/1.1 200 OK\r\n"
            self._keep_alive = False
            self._endless = True
        else:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            self._long_end = b"0\r\n\r\n"
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        # Said now and kept at the end, whatever holds by then.
        self._keep_alive = not self._closes()
        transport.set_write_buffer_limits(high=0)
        transport.write(head + (b"\r\n" if self._keep_alive else b"Connection: close\r\n\r\n"))
        self._flow = flow
        flow.attach(self)

    def flow_write(self, data: bytes) -> None:
        """The next bytes of a long answer."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self._long_end else data)

    def flow_end(self) -> None:
        """The last byte of a long answer."""
        transport, end = self._transport, self._long_end
        self._request = self._flow = None
        self._long_end = b""
        self._endless = False
        if transport is None or transport.is_closing():
            return
        if end:
            transport.write(end)
        transport.set_write_buffer_limits()
        self._after_answer(not self._keep_alive)

    def abort_response(self) -> None:
        """What has begun can't be finished: an end without the rest tells the client."""
        self._request = None
        self._drop_flow()
        if self._transport is not None:
            if self._endless:
                # Its end would pass for the answer's: only a reset tells that it is not whole.
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE)
            self._transport.abort()

    def _drop_flow(self) -> None:
        flow, self._flow = self._flow, None
        if flow is not None:
            flow.discard()

    def pause_writing(self) -> None:
        if self._flow is not None:
            self._flow.block()

    def resume_writing(self) -> None:
        if self._flow is not None:
            self._flow.unblock()

    def _closes(self) -> bool:
        if not self._keep_alive or self._half_read():
            return True
        if self._waiting:
            return False  # taken: each of them is owed its answer
        registry = self._registry
        return registry.service.closes or self._eof or registry.crowded()

    def _write_head(self, head: bytes, chunks: list[bytes] | None = None) -> None:
        """Write an answer that is whole, and go on to what follows it."""
        self._request = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        closes = self._closes()
        end = b"Connection: close\r\n\r\n" if closes else b"\r\n"
        transport.write(b"".join((head, end, *chunks)) if chunks else head + end)
        self._after_answer(closes)

    def _after_answer(self, closes: bool) -> None:
        if closes:
            self._end()
            return
        self._since = self._registry.sweeps
        if self._waiting or self._incoming is not None:
            # Not from here: whoever answered is still at work with this request.
            self._registry.node.loop.call_soon(self._go_on)
        else:
            self._registry.idle[self] = None

    def _go_on(self) -> None:
        """Take what waited behind the request that has been answered."""
        if self._transport is None or self._parser is None:
            return
        self._next()
        if self._request is None:
            self.resume_flow()

    def _reject(self, status: int, text: bytes = b"") -> None:
        """Answer what can't be read as a request, and close."""
        self._parser = None
        request, self._request = self._request, None
        if request is not None:
            self._registry.node.client_gone(request)
        if self._flow is not None:
            # Part of an answer has gone: an error now would pass for more of it.
            self.abort_response()
            return
        transport = self._transport
        if transport is not None and not transport.is_closing():
            head = TEXT % (status, REASONS[status], len(text)) if text else EMPTY[status]
            transport.write(head + b"Connection: close\r\n\r\n" + text)
            self._end()

    def _end(self) -> None:
        """The one way to end a connection: end our sending, drop what comes, close when the
        client has, or after a while.

        Closing at once would reset the connection where bytes lie unread, also such as came
        since we looked, and the reset could reach the client before the answer does.
        """
        transport = self._transport
        assert transport is not None
        silent = self in self._registry.fresh
        self._leave_rest()
        incoming = self._incoming
        if incoming is not None and incoming.flow is not None:
            self._still_to_come = (incoming.length or MAX_MESSAGE_BYTES) - incoming.size
        self._drop_incoming()
        self._parser = None
        if self._eof:
            transport.close()
            return
        self._lingering = True
        self._registry.lingering[self] = (self._registry.node.loop.time(), silent)
        self._since = self._registry.sweeps
        transport.write_eof()
        transport.resume_reading()

    # ---- ends ---------------------------------------------------------

    def eof_received(self) -> bool:
        # A client that has ended its sending may still wait for its answer, and one that
        # has closed looks the same: what has been sent on for it is waited for, nothing
        # begins any more, and what waited behind it is dropped.
        self._eof = True
        if self._half_read():
            return False  # a body that was cut off never becomes whole
        self._drop_incoming()
        if self._request is not None:
            self._registry.node.client_ended(self._request)
        return self._request is not None or self._flow is not None

    def connection_lost(self, exc: Exception | None) -> None:
        registry = self._registry
        self._transport = None
        self._parser = None
        registry.connections.discard(self)
        registry.lingering.pop(self, None)
        self._leave_rest()
        request, self._request = self._request, None
        if request is not None:
            registry.node.client_gone(request)
        self._drop_flow()
        self._drop_incoming()
        registry.node.clients -= 1
        registry.node.freed()

    def resting(self) -> bool:
        """Whether it can be closed without harm: nothing under way either way."""
        transport = self._transport
        if (
            transport is None
            or self._request is not None
            or self._incoming is not None
            or self._waiting
            or self._flow is not None
            or transport.get_write_buffer_size()
        ):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return True
        return False  # a request lies unread

    def finished(self) -> bool:
        """Whether a stop need not wait for it."""
        transport = self._transport
        return transport is None or (
            not self._lingering
            and self._request is None
            and self._incoming is None
            and not self._waiting
            and self._flow is None
            and not transport.get_write_buffer_size()
        )

    def has_half_closed(self) -> bool:
        """Whether the client has ended its sending, asked of the socket itself."""
        return self._eof or self._transport is None or sending_has_ended(self._sock)

    def look(self) -> None:
        """While it is not read from: learn all the same that the client has gone."""
        if self._request is not None and not self._eof and sending_has_ended(self._sock):
            self._registry.node.client_ended(self._request)

    def close(self) -> None:
        """End it at rest."""
        if self._transport is not None and not self._lingering:
            self._end()

    def cut_off(self) -> None:
        """Close without the client's end, once its last answer has left."""
        if self._transport is not None and not self._transport.get_write_buffer_size():
            self._transport.abort()

    def age(self) -> int:
        """Sweeps since it came up, or was last busy."""
        return self._registry.sweeps - self._since

    # ---- patience -----------------------------------------------------

    def _too_slow(self) -> bool:
        """Give up a request that does not become whole.

        Guards against heads and bodies that never end, and against whoever connects
        and says nothing. Does harm to a client behind a line under 32 kB/s.
        """
        incoming = self._incoming
        if incoming is None:
            if self in self._registry.fresh and self.age() > WHOLE_SWEEPS and self.resting():
                self.close()
                return True
            return False
        if incoming.flow is not None and incoming.flow.paused:
            # We pause it, for its server takes no more: that is not the client's time.
            if self.age() > STALL_SWEEPS and self._request is not None:
                self._registry.node.stalled(self._request)
            return False
        if self.age() <= HEAD_SWEEPS + incoming.size // SWEEP_BYTES:
            return False
        if self._request is not None and incoming.flow is None:
            return False  # its turn has not come
        self._reject(408)
        return True

    def sweep(self, sweep: int) -> None:
        """Give up a client that has stopped sending or taking bytes."""
        transport = self._transport
        if transport is None:
            return
        waiting = transport.get_write_buffer_size()
        if self._lingering:
            if not waiting and self.age() > LINGER_SWEEPS:
                transport.abort()
                return
        elif self._too_slow():
            return
        if not waiting:
            self._write_since = sweep
            return
        queued = QUEUED.unpack(fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(4)))[0]
        if (waiting, queued) != self._progress:
            self._progress = (waiting, queued)
            self._write_since = sweep
        elif sweep - self._write_since > WRITE_SWEEPS:
            # A reader that takes nothing holds a descriptor and a buffer for good.
            transport.abort()
