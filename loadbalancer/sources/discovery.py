"""The client of the discovery service: polls the endpoint list, then watches it for changes.

At most one call is pending, and only its answer is used: whatever replaces it (a new address,
another process that takes over the watch, closing) drops it first. The timeouts of calls are in
`loadbalancer/core/endpoints/poll_timing.py`, and how consecutive failures change them is in
`loadbalancer/core/endpoints/poll_backoff.py`.

Protocol (the platform's specification, section "Discovery"): a poll without `from` is answered
with the complete list. A request with `from` and `hold_ms` is a watch (long poll), answered with a
delta as soon as there is one, and after `hold_ms` at the latest.
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
            made stale; after a failed call with `Update.FAILED` and two empty lists.
        list_logger: receives the log lines, so that a caller can mark them as its own; None for
            this module's logger.
    """

    stale_after_ns = 30 * SECOND  # without an answer; a working watch is answered within seconds

    __slots__ = ("_address", "_backoff", "_call", "_call_started_ns", "_call_timeout_ns",
                 "_is_watch", "_logger", "_needs_full", "_older_answers", "_on_update", "_probe",
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
        # The current list may come from another service or may lack a change, so that deltas can't
        # be applied to it: polls request the complete list until one has been applied.
        self._needs_full = False
        self._call: HttpGet | None = None
        self._is_watch = False  # whether the pending call is a watch, not a poll
        self._backoff = PollBackoff(config.settings, Random(config.seed))
        self._call_started_ns = 0  # when the pending call began
        self._call_timeout_ns = 0  # the pending call's timeout
        self._retry_at_ns = 0  # monotonic time of the next call after a failure
        self._retry_timer: asyncio.TimerHandle | None = None  # runs until `_retry_at_ns`
        # During a poll with a long timeout: the pending probe, or the timer of the next one.
        self._probe: Probe | asyncio.TimerHandle | None = None
        self._suspended = False  # another process of this node watches for both of them
        self._silence_timer: asyncio.TimerHandle | None = None  # expires if that process is silent
        # Called with the body of each applied answer, to pass it on to the node's other process.
        self.forward: Callable[[bytes], None] | None = None
        self._readers: ListReaders | None = None
        self.endpoint_list = EndpointList(config)

    @property
    def readers(self) -> ListReaders | None:
        """Set if only a few nodes, the list readers, poll the list service for all nodes."""
        return self._readers

    @readers.setter
    def readers(self, readers: ListReaders) -> None:
        self._readers = readers
        self._backoff.use_list_readers()

    # Methods that the host calls

    def load_configured(self, raw: Any) -> list[Listing]:
        """Apply the endpoint list of the configuration; returns its listings.

        Raises:
            ListError: the list is malformed.
        """
        try:
            decoded = self.endpoint_list.decode(raw)
        except ListError as err:
            raise ListError(f"known: {err}") from None
        self.endpoint_list.apply(raw["rev"], *decoded)
        return decoded.listings

    def inherit(self, inherited: Inheritance) -> list[Listing]:
        """Apply the list inherited from the preceding process; returns its listings."""
        return self.endpoint_list.inherit(inherited)

    def handed_sources(self) -> None:
        """Nothing: a successor is handed the one list."""

    def watch(self) -> None:
        """Poll for changes since the current version, then watch until a call fails.

        After consecutive failures the first call begins only when the backoff has expired.
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
            self._require_full_list()
        self._send(0)

    def reconfigure(self, address: Address, settings: Settings) -> None:
        """Apply new settings; if the address changed, poll there for the complete list, then watch.

        Moving at once avoids a watch that continues at an address about to close. The first
        complete list from the new address is applied whatever its version: a new service may count
        versions from a low number again, so that all of its lists would look older than the current
        one. The drawback: if that list really is older, it stays in use until the next change.
        """
        self._timings = poll_timings(settings)
        self._backoff.configure(settings)
        if address == self._address:
            return
        self._logger.info("the discovery address changed to %s", address)
        self._address = address
        self._drop_call()
        self._backoff.reset()
        self._retry_at_ns = 0
        self._require_full_list()
        if not self._suspended and self._may_poll():
            self._send(0)

    def close(self) -> None:
        """Stop watching; `watch` starts again."""
        self._drop_call()
        self._restart_silence_timer(0)

    def suspend(self) -> None:
        """Stop calling while another process of this node watches and forwards its lists."""
        self._suspended = True
        self._drop_call()
        self._restart_silence_timer(self._timings.hold + self._timings.hold_margin)

    def resume(self) -> None:
        """Watch again from the current version, as the other process has ended or is silent."""
        self._restart_silence_timer(0)
        self._suspended = False
        self.watch()

    def on_forwarded(self, body: bytes) -> None:
        """Apply an answer that another process of this node received and forwarded."""
        if self._suspended:
            self._restart_silence_timer(self._timings.hold + self._timings.hold_margin)
        try:
            self._apply_answer(body, own=False)
        except Exception:  # noqa: BLE001 -- logged by _on_update_failed, and a call follows
            self._on_update_failed()
            # The other process does not send this answer again. From now on both processes poll,
            # as they do if it falls silent: the list service has one more watch until one ends.
            self.resume()

    def _restart_silence_timer(self, limit_ns: int) -> None:
        """Resume unless the other process sends a list within this time; 0 stops the timer."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        if limit_ns:
            loop = asyncio.get_running_loop()
            self._silence_timer = loop.call_later(limit_ns / SECOND, self._on_peer_silent)

    def _on_peer_silent(self) -> None:
        self._logger.info("no list was forwarded by the other process in time: polling again")
        self.resume()

    def apply_shared(self, raw: dict[str, Any]) -> None:
        """Apply a list that another node has read and shared.

        Raises:
            ListError: the list can't be used, or applying it failed.
        """
        decoded = self.endpoint_list.decode(raw)
        self._older_answers = OlderAnswerFilter()
        stale = self.endpoint_list.apply(raw["rev"], *decoded)
        try:
            if self.forward is not None:
                self.forward(json.dumps(raw).encode())
            self._on_update(decoded.update, decoded.listings, stale)
        except Exception as err:
            self._on_update_failed()
            raise ListError("applying the list failed") from err

    def _on_update_failed(self) -> None:
        """Log the exception raised by an update's receiver; called while it is handled.

        Guards against a receiver's exception that prevents the next call, which would leave the
        list unchanged until a restart. Each of the three places where answers arrive catches the
        exception, calls this method and makes sure that a call follows. That call polls for the
        complete list: the current version counts as known, so no delta repeats the lost change.
        """
        self._logger.exception("applying the list failed: polling for the complete list")
        self._needs_full = True

    def _may_poll(self) -> bool:
        return self.readers is None or self.readers.may_poll()

    def _require_full_list(self) -> None:
        """Require a complete list of any version next.

        The current list may come from another service, whose versions can't be compared.
        """
        self._needs_full = True
        self._older_answers.accept_next()

    def _send(self, hold_ns: int) -> None:
        """Start a call: for the complete list if it is needed, otherwise for changes.

        Args:
            hold_ns: how long the service may wait for a change; 0 makes the call a poll.
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
        self._call_started_ns, self._call_timeout_ns = time.monotonic_ns(), limit_ns
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
        """Count and report a failed call; the host calls `watch` again."""
        now = time.monotonic_ns()
        elapsed_ns = now - self._call_started_ns
        backoff_ns = self._backoff.on_failure(failure, elapsed_ns, self._endpoint_count())
        self._retry_at_ns = now + backoff_ns
        try:
            self._on_update(Update.FAILED, [], [])
        except Exception:
            # If the receiver that should call `watch` again raises, no call would ever follow:
            # this object's own timer calls it instead.
            self._logger.exception("reporting a failed call raised an exception: polling again")
            if self._call is None and self._retry_timer is None:
                self._schedule_retry(max(backoff_ns, self._timings.max_pause))

    def _on_response(self, response: Response | None) -> None:
        call, self._call = self._call, None
        self._drop_probe()
        elapsed_ns = time.monotonic_ns() - self._call_started_ns
        if response is None and self._is_watch:
            # A watch that timed out or broke may have missed a change. Poll for it at once; the
            # backoff begins only if this poll fails too.
            self._logger.info("the watch of the list ended without an answer: polling for changes")
            self._send(0)
            return
        is_ok = response is not None and response.status == HTTPStatus.OK
        body = response.body if response is not None and is_ok else None
        try:
            is_applied = self._apply_answer(body)
        except Exception:  # noqa: BLE001 -- logged by _on_update_failed, and a call follows
            self._on_update_failed()
            self._fail(PollFailure.UNUSABLE)
            return
        if is_applied:
            if not self._is_watch:
                self._backoff.on_answer(elapsed_ns)
            # The next watch begins at once: after 200 ms the discovery service would count it as
            # a new watch, and a change in between as delivered late. The conditions are checked
            # again because the update's receiver may have closed or suspended this object.
            if self._call is None and not self._suspended and self._may_poll():
                self._send(self._timings.hold)
        else:
            connected = call is not None and call.connected
            # A watch waits for a change, not in the service's queue.
            queued_ns = 0 if self._is_watch else elapsed_ns
            self._fail(
                classify_failure(queued_ns, self._call_timeout_ns, connected, body is not None)
            )

    def _schedule_probe(self, delay_ns: int) -> None:
        loop = asyncio.get_running_loop()
        self._probe = loop.call_later(delay_ns / SECOND, self._send_probe)

    def _send_probe(self) -> None:
        """Open a test connection: an unreachable service will not answer the pending call."""
        self._probe = Probe(
            self._address, self._timings.connect_timeout / SECOND, self._on_probe_result
        )

    def _on_probe_result(self, reached: bool) -> None:
        if reached:
            self._schedule_probe(self._backoff.probe_interval())
            return
        self._logger.info("discovery can't be reached: dropping the pending call")
        self._drop_call()
        self._fail(PollFailure.UNREACHABLE)

    def _drop_probe(self) -> None:
        probe, self._probe = self._probe, None
        if isinstance(probe, Probe):
            probe.drop()
        elif probe is not None:
            probe.cancel()

    def _apply_answer(self, body: bytes | None, *, own: bool = True) -> bool:
        """Apply an answer and report it; returns False if the current list stays.

        Args:
            body: the answer's body; None for a failed call.
            own: whether this process made the call itself.
        """
        raw: Any = None
        try:
            raw = _parse(body)
            decoded = self._check(raw)
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self._logger.info("ignoring the answer of discovery: %s", err)
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
        """Decode an answer, and compare its version with that of the current list.

        Raises:
            ListError: the answer is malformed, older than the current list, or a delta although
                the complete list is needed.
        """
        decoded = self.endpoint_list.decode(raw)
        rev, is_full = raw["rev"], decoded.update == Update.FULL
        if self._needs_full and not is_full:
            raise ListError("it is a delta, but the complete list is needed")
        if not self._older_answers.accepts(rev, is_full, self.endpoint_list.rev):
            self._needs_full = True  # deltas never fit if the service has restarted its versions
            raise ListError(f"its version {rev} is older than the current {self.endpoint_list.rev}")
        return decoded


def _parse(body: bytes | None) -> Any:
    raw = None if body is None else json.loads(body)
    if raw is None:
        raise ListError("the call failed")
    return raw
