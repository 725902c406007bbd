"""The client of the discovery service: polls the endpoint list, then watches it for changes.

One call is out at a time, and only its answer is used: whatever takes its place (another address,
another process that watches, the end) drops it first. `loadbalancer/core/endpoints/poll_timing.py`
says how long each call may take; `loadbalancer/core/endpoints/poll_backoff.py` says what failures
in a row change in that.

Source: the platform's protocol, "Discovery": a poll without `from` is answered with the complete
list; with `from` and `hold_ms` it is a watch (long poll), answered with a delta as soon as there
is one, and within `hold_ms`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Any

from loadbalancer.config.address import Address
from loadbalancer.config.node import Config
from loadbalancer.core import Listing, Settings, Update
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.poll_backoff import PollBackoff, PollFailure, classify_failure
from loadbalancer.core.endpoints.poll_timing import poll_timings
from loadbalancer.core.endpoints.revisions import OlderAnswerFilter
from loadbalancer.sources.endpoint_list import LIST_PATH, DecodedList, EndpointList, ListError
from loadbalancer.sources.http_get import HttpGet, Probe, Response

if TYPE_CHECKING:
    from loadbalancer.proxy.ports import ListReaders
    from loadbalancer.upgrade.handed_state import Inheritance

logger = logging.getLogger(__name__)

SourceLogger = logging.Logger | logging.LoggerAdapter[logging.Logger]
OnUpdate = Callable[[Update, list[Listing], list[int]], None]


class Discovery:
    """Keeps one endpoint list up to date.

    Args:
        config: the node's settings.
        on_update: called with each update, its listings, and the backends whose connections it
            made stale; with `Update.FAILED` and nothing else after a failed call.
        list_logger: where log lines go, for a caller that marks its own; None for this module's.
    """

    stale_after_ns = 30 * SECOND  # without an answer: a watch is answered within seconds

    __slots__ = ("_address", "_backoff", "_call", "_is_watch", "_limit_ns", "_logger",
                 "_needs_full", "_older_answers", "_on_update", "_polled_at_ns", "_probe",
                 "_readers", "_retry_at_ns", "_retry_timer", "_silence_timer", "_suspended",
                 "_timings", "endpoint_list", "forward")  # fmt: skip

    def __init__(
        self, config: Config, on_update: OnUpdate, list_logger: SourceLogger | None = None
    ) -> None:
        self._address = config.discovery
        self._on_update = on_update
        self._logger = list_logger or logger
        self._timings = poll_timings(config.settings)
        self._older_answers = OlderAnswerFilter()
        # The present list may be another service's, or lack a change: no delta is of use, and the
        # complete list is polled for until one has been applied.
        self._needs_full = False
        self._call: HttpGet | None = None
        self._is_watch = False  # whether the call that is out is a watch, not a poll
        self._backoff = PollBackoff(config.settings, Random(config.seed))
        self._polled_at_ns = 0  # when the call that is out began
        self._limit_ns = 0  # how long it may take
        self._retry_at_ns = 0  # monotonic: the next call after a failure
        self._retry_timer: asyncio.TimerHandle | None = None  # until then
        # Beside a poll that waits long: the probe that is out, or the timer of the next one.
        self._probe: Probe | asyncio.TimerHandle | None = None
        self._suspended = False  # another process of this node watches for both
        self._silence_timer: asyncio.TimerHandle | None = None  # until that one must be heard
        # Called with the body of each answer that was applied.
        self.forward: Callable[[bytes], None] | None = None
        self._readers: ListReaders | None = None
        self.endpoint_list = EndpointList(config)

    @property
    def readers(self) -> ListReaders | None:
        """Set where a few nodes read the list for all."""
        return self._readers

    @readers.setter
    def readers(self, readers: ListReaders) -> None:
        self._readers = readers
        self._backoff.use_list_readers()

    # ---- what the host calls -----------------------------------------------------

    def load_configured(self, raw: Any) -> list[Listing]:
        """Apply the list from the configuration; returns its listings.

        Raises:
            ListError: it is malformed.
        """
        try:
            decoded = self.endpoint_list.read(raw)
        except ListError as err:
            raise ListError(f"known: {err}") from None
        self.endpoint_list.apply(raw["rev"], *decoded)
        return decoded.listings

    def inherit(self, inherited: Inheritance) -> list[Listing]:
        """Apply the list as the process before this one had it; returns its listings."""
        return self.endpoint_list.inherit(inherited)

    def watch(self) -> None:
        """Poll for changes since the present version, then watch until a call fails.

        After failures in a row the first call begins only when the backoff has passed.
        """
        if self._call is not None or self._retry_timer is not None:
            return
        if self._suspended or not self._may_poll():
            return
        backoff_ns = self._retry_at_ns - time.monotonic_ns()
        if backoff_ns > 0:
            self._schedule_retry(backoff_ns)
            return
        if self.readers is not None and self.readers.needs_first_list():
            self._expect_full()
        self._send(0)

    def move(self, address: Address, settings: Settings) -> None:
        """Use other settings, and another address: poll there for the complete list, then watch.

        Guards against a watch that goes on at an address about to close, and against a new
        service whose versions begin again from a low number, so that each of its lists would
        look older than the present one: the first complete list is applied whatever its version.
        Does harm if that list is older than the present one, until the next change arrives.
        """
        self._timings = poll_timings(settings)
        self._backoff.configure(settings)
        if address == self._address:
            return
        self._logger.info("discovery is at %s now", address)
        self._address = address
        self._drop_call()
        self._backoff.reset()
        self._retry_at_ns = 0
        self._expect_full()
        if not self._suspended and self._may_poll():
            self._send(0)

    def close(self) -> None:
        """Watch no longer; `watch` begins again."""
        self._drop_call()
        self._await_peer(0)

    # ---- the other process of this node --------------------------------------------

    def suspend(self) -> None:
        """Send nothing while another process of this node watches for both, and is heard."""
        self._suspended = True
        self._drop_call()
        self._await_peer(self._timings.hold + self._timings.hold_margin)

    def resume(self) -> None:
        """Watch again from the present version: that process has ended, or fell silent."""
        self._await_peer(0)
        self._suspended = False
        self.watch()

    def on_forwarded(self, body: bytes) -> None:
        """Use an answer that another process of this node received."""
        if self._suspended:
            self._await_peer(self._timings.hold + self._timings.hold_margin)
        try:
            self._apply_answer(body, own=False)
        except Exception:  # noqa: BLE001 -- logged there, and a call follows
            self._on_not_taken()
            # The other process does not send this answer again. From here on both poll, as where
            # it has fallen silent: one more watch at the list service, until one of them ends.
            self.resume()

    def _await_peer(self, limit_ns: int) -> None:
        """Watch again unless the other process is heard within this time; 0 for no limit."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        if limit_ns:
            loop = asyncio.get_running_loop()
            self._silence_timer = loop.call_later(limit_ns / SECOND, self._on_peer_silent)

    def _on_peer_silent(self) -> None:
        self._logger.info("the other process forwards no list: polling again")
        self.resume()

    # ---- nodes that read the list for all ---------------------------------------------

    def apply_shared(self, raw: dict[str, Any]) -> None:
        """Apply the list as another node has read it.

        Raises:
            ListError: it can't be used, or was not taken over.
        """
        decoded = self.endpoint_list.read(raw)
        self._older_answers = OlderAnswerFilter()
        stale = self.endpoint_list.apply(raw["rev"], *decoded)
        try:
            if self.forward is not None:
                self.forward(json.dumps(raw).encode())
            self._on_update(decoded.update, decoded.listings, stale)
        except Exception as err:
            self._on_not_taken()
            raise ListError("it was not taken over") from err

    def _on_not_taken(self) -> None:
        """Note that an answer was not taken over; to be called with its exception.

        Failure: the receiver of an answer raises, and the call that follows an answer never
        begins: the list stays as it is until a restart. Each of the three places that an answer
        comes from catches the exception, calls this, and lets a call follow. That one is for the
        complete list: the present version counts as known, and no delta repeats what was missed.
        """
        self._logger.exception("the list was not taken over: the complete list is polled for")
        self._needs_full = True

    def _may_poll(self) -> bool:
        return self.readers is None or self.readers.may_poll()

    # ---- calls -------------------------------------------------------------------------

    def _expect_full(self) -> None:
        """The present list may be another service's: the next complete one is right."""
        self._needs_full = True
        self._older_answers.accept_next()

    def _send(self, hold_ns: int) -> None:
        """Poll for the complete list where it is needed, else for changes.

        Args:
            hold_ns: how long the service may wait for a change: 0 for a poll, else a watch.
        """
        assert self._call is None
        timings = self._timings
        self._is_watch = hold_ns > 0 and not self._needs_full
        target = LIST_PATH
        if not self._needs_full:
            target += f"?from={self.endpoint_list.rev}&hold_ms={max(hold_ns // MS, 1)}"
        if self._is_watch:
            limit_ns = hold_ns + timings.hold_margin
        else:
            limit_ns = self._backoff.answer_timeout(self._endpoint_count())
        self._polled_at_ns, self._limit_ns = time.monotonic_ns(), limit_ns
        self._call = HttpGet(
            self._address,
            target,
            limit_ns / SECOND,
            self._on_response,
            connect_timeout_s=timings.connect_timeout / SECOND,
        )
        if not self._is_watch and limit_ns > timings.answer_timeout:
            self._schedule_probe(timings.answer_timeout)

    def _endpoint_count(self) -> int:
        return len(self.endpoint_list.endpoints)

    def _drop_call(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call.drop()
        self._drop_probe()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _schedule_retry(self, pause_ns: int) -> None:
        loop = asyncio.get_running_loop()
        self._retry_timer = loop.call_later(pause_ns / SECOND, self._on_backoff_passed)

    def _on_backoff_passed(self) -> None:
        self._retry_timer = None
        self._retry_at_ns = 0
        self.watch()

    def _fail(self, failure: PollFailure) -> None:
        """Count a failed call; the host calls `watch` again."""
        now = time.monotonic_ns()
        elapsed_ns = now - self._polled_at_ns
        backoff_ns = self._backoff.on_failure(failure, elapsed_ns, self._endpoint_count())
        self._retry_at_ns = now + backoff_ns
        try:
            self._on_update(Update.FAILED, [], [])
        except Exception:
            # Failure: whoever is to call `watch` again raises, so that no call ever follows.
            # This object's own timer calls it then.
            self._logger.exception("reporting a failed call failed: polling again")
            if self._call is None and self._retry_timer is None:
                self._schedule_retry(max(backoff_ns, self._timings.max_pause))

    def _on_response(self, response: Response | None) -> None:
        call, self._call = self._call, None
        self._drop_probe()
        elapsed_ns = time.monotonic_ns() - self._polled_at_ns
        if response is None and self._is_watch:
            # A silent or broken watch may have missed a change: that is polled for at once, and
            # only where the poll fails too the backoff begins.
            self._logger.info("the watch of the list ended without an answer: polling for changes")
            self._send(0)
            return
        is_ok = response is not None and response.status == HTTPStatus.OK
        body = response.body if response is not None and is_ok else None
        try:
            is_applied = self._apply_answer(body)
        except Exception:  # noqa: BLE001 -- logged there, and a call follows
            self._on_not_taken()
            self._fail(PollFailure.UNUSABLE)
            return
        if is_applied:
            if not self._is_watch:
                self._backoff.on_answer(elapsed_ns)
            # At once: after 200 ms discovery would count it as a new watch, and a change in
            # between as delivered late. The update's receiver may have closed or suspended this.
            if self._call is None and not self._suspended and self._may_poll():
                self._send(self._timings.hold)
        else:
            connected = call is not None and call.connected
            queued_ns = 0 if self._is_watch else elapsed_ns  # a watch waits for a change
            self._fail(classify_failure(queued_ns, self._limit_ns, connected, body is not None))

    # ---- probes of a service that is slow ------------------------------------------------

    def _schedule_probe(self, delay_ns: int) -> None:
        loop = asyncio.get_running_loop()
        self._probe = loop.call_later(delay_ns / SECOND, self._send_probe)

    def _send_probe(self) -> None:
        """Open a connection: a service that none reaches will not answer the call that is out."""
        self._probe = Probe(
            self._address, self._timings.connect_timeout / SECOND, self._on_probe_result
        )

    def _on_probe_result(self, reached: bool) -> None:
        if reached:
            self._schedule_probe(self._backoff.probe_interval())
            return
        self._logger.info("discovery is out of reach: the call that waits for it is given up")
        self._drop_call()
        self._fail(PollFailure.UNREACHABLE)

    def _drop_probe(self) -> None:
        probe, self._probe = self._probe, None
        if isinstance(probe, Probe):
            probe.drop()
        elif probe is not None:
            probe.cancel()

    # ---- answers --------------------------------------------------------------------------

    def _apply_answer(self, body: bytes | None, *, own: bool = True) -> bool:
        """Apply an answer and report it; False where the present list stays.

        Args:
            body: the answer's body, None for a call that failed.
            own: whether this process made the call.
        """
        raw: Any = None
        try:
            raw = _parse(body)
            decoded = self._check(raw)
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self._logger.info("discovery answer not used: %s", err)
            if self.readers is not None and own:
                self.readers.failed(raw is not None and self._older_answers.consecutive_older > 0)
            return False
        self._needs_full = False
        stale = self.endpoint_list.apply(raw["rev"], *decoded)
        if self.forward is not None and body is not None:
            self.forward(body)
        if self.readers is not None and own:
            self.readers.read(raw)
        self._on_update(decoded.update, decoded.listings, stale)
        return True

    def _check(self, raw: Any) -> DecodedList:
        """Decode an answer, and compare its version with the present list's.

        Raises:
            ListError: it is malformed, a delta where the complete list is needed, or older.
        """
        decoded = self.endpoint_list.read(raw)
        rev, is_full = raw["rev"], decoded.update == Update.FULL
        if self._needs_full and not is_full:
            raise ListError("it has changes alone where the whole list is needed")
        if not self._older_answers.accepts(rev, is_full, self.endpoint_list.rev):
            self._needs_full = True  # deltas of a service that counts differently never fit
            raise ListError(f"version {rev} is older than {self.endpoint_list.rev}")
        return decoded


def _parse(body: bytes | None) -> Any:
    raw = None if body is None else json.loads(body)
    if raw is None:
        raise ListError("the call failed")
    return raw
