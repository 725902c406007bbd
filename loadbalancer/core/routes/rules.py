"""Checks each resolved policy against the rules described in docs/operate/routes.md.

A fault is reported at the line where the violating value was written, not where it
applies.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import Effect, Settings
from loadbalancer.core.routes.faults import FaultLog
from loadbalancer.core.routes.reader import Lines
from loadbalancer.core.routes.specs import ClassSpec, Values
from loadbalancer.core.routes.table import NEVER_RAN, Policy

MAX_ATTEMPTS = 10


class _Checked(NamedTuple):
    """A policy being checked."""

    policy: Policy
    spec: ClassSpec
    values: Values
    faults: FaultLog

    def report(self, key: str, rule: str, wrong: str, right: str) -> None:
        """Report a violated rule at the line of the value that violates it."""
        policy = self.policy
        who = f"class {policy.cls}"
        if policy.name != who:
            who = f"{who} on route {policy.name}"
        self.faults.add_once(self.values[key].line, rule, f"{who} {wrong}", right)


class PolicyRules:
    """Checks policies against the rules and, if given, against the settings."""

    __slots__ = ("_faults", "_lines", "_settings", "max_attempts")

    def __init__(self, faults: FaultLog, lines: Lines, settings: Settings | None) -> None:
        self._faults = faults
        self._lines = lines
        self._settings = settings
        self.max_attempts = settings.max_attempts if settings else MAX_ATTEMPTS

    def check(self, policy: Policy, spec: ClassSpec, values: Values) -> None:
        """Report every rule that a resolved policy violates."""
        checked = _Checked(policy, spec, values, self._faults)
        if policy.effect == Effect.SIDE_EFFECT:
            _check_never_repeated(checked)
        if policy.effect == Effect.TOKEN:
            _check_keyed(checked)
        _check_times(checked)
        self._check_attempts(checked)
        if policy.hedging is not None:
            self._check_hedging(checked)

    def _check_attempts(self, checked: _Checked) -> None:
        attempts, allowed = checked.policy.attempts, self.max_attempts
        if attempts > allowed:
            wrong = f"has {attempts} attempts, the limit is {allowed}"
            checked.report("attempts", "attempts-over-most", wrong, f"write {allowed} at most")

    def _check_hedging(self, checked: _Checked) -> None:
        policy = checked.policy
        assert policy.hedging is not None
        after = policy.hedging.after
        end = policy.attempt_timeout or policy.timeout
        if end and after >= end:
            wrong = f"sends a second copy after {_ms(after)}, but its attempt ends after {_ms(end)}"
            checked.report("second_copy", "copy-after-end", wrong, f"write less than {_ms(end)}")
        if policy.attempts == 1 and policy.effect == Effect.PURE:
            wrong = "has a second copy but one attempt only; the copy counts as an attempt"
            checked.report("second_copy", "copy-attempts", wrong, "write attempts = 2 or more")
        settings = self._settings
        if settings is not None and not (settings.hedging and settings.can_cancel):
            wrong = f"{policy.name}: the settings do not allow second copies"
            line = self._lines.of(("defaults",))
            self._faults.warn(line, "copy-not-allowed", wrong, "none will be sent")


def _check_never_repeated(checked: _Checked) -> None:
    policy = checked.policy
    if policy.attempts > 1:
        wrong = f"has repeat never but {policy.attempts} attempts"
        right = "write attempts = 1, or leave it out: the settings then limit the retries of "
        right += "requests that never ran"
        checked.report("attempts", "never-attempts", wrong, right)
    may_have_run = sorted((policy.retry_on or frozenset()) - NEVER_RAN)
    if may_have_run:
        after = ", ".join(may_have_run)
        wrong = f"has repeat never but is retried after {after}, when it may have run"
        right = f"use only {', '.join(sorted(NEVER_RAN))}"
        checked.report("retry_on", "never-condition", wrong, right)
    if policy.hedging is not None:
        right = "leave it out, or set it for safe classes only"
        checked.report("second_copy", "never-copy", "has repeat never but second copies", right)


def _check_keyed(checked: _Checked) -> None:
    policy = checked.policy
    if policy.hedging is not None:
        right = "leave it out: two copies of a keyed request may reach servers at once"
        checked.report("second_copy", "keyed-copy", "has repeat keyed but second copies", right)
    window = checked.spec.window
    last_attempt_start = policy.attempt_timeout * max(policy.attempts - 1, 0)
    if window and last_attempt_start >= window:
        right = "shorten attempt_timeout or attempts: servers forget the key"
        checked.report("attempt_timeout", "keyed-window", "may be retried after its window", right)


def _check_times(checked: _Checked) -> None:
    policy, give_up = checked.policy, checked.spec.give_up
    if give_up and policy.timeout > give_up:
        wrong = f"may take {_ms(policy.timeout)}, but its clients give up after {_ms(give_up)}"
        checked.report("timeout", "timeout-over-give-up", wrong, f"write {_ms(give_up)} or less")
    total = policy.timeout or give_up
    if not total:
        return
    if policy.wanted > total:
        wrong = f"has wanted = {_ms(policy.wanted)} but ends after {_ms(total)}"
        checked.report("wanted", "wanted-over-timeout", wrong, "write its timeout or less")
    attempts, attempt_timeout = policy.attempts, policy.attempt_timeout
    if attempt_timeout > total:
        wrong = f"allows an attempt {_ms(attempt_timeout)}, more than its total of {_ms(total)}"
        right = f"write {_ms(total)} or less"
        checked.report("attempt_timeout", "attempt-over-timeout", wrong, right)
    elif attempts > 1 and attempt_timeout * (attempts - 1) >= total:
        wrong = f"cannot fit {attempts} attempts of {_ms(attempt_timeout)} into {_ms(total)}"
        right = "lower attempts or attempt_timeout"
        checked.report("attempts", "attempts-dont-fit", wrong, right)


def _ms(ns: int) -> str:
    return f"{ns / 1_000_000:g}ms"
