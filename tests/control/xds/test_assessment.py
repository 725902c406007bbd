"""Tests of the periodic assessment of load reports, and of drains, without sockets."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import pytest

from loadbalancer.control.xds import service
from loadbalancer.control.xds.service import ControlService


@pytest.mark.parametrize("step", ["assess_reports", "stale_list"])
def test_assessments_continue_after_an_exception(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One pool's assessment raises an exception. If that ended the assessments, the weights of all
    pools would no longer follow the load reports until a restart.
    """
    monkeypatch.setattr(service, "ASSESS_INTERVAL_S", 0.001)
    pools: list[Any] = [mock.Mock(), mock.Mock()]
    for pool in pools:
        pool.stale_list.return_value = ""
    getattr(pools[0], step).side_effect = ZeroDivisionError
    made: Any = object.__new__(ControlService)
    made._pools, made._was_stale = pools, False

    async def scenario() -> None:
        made._assess()
        async with asyncio.timeout(5.0):
            while pools[1].assess_reports.call_count < 3:
                await asyncio.sleep(0.001)

    asyncio.run(scenario())


def test_a_drain_is_still_pushed_and_reported_after_an_exception_in_its_publication(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If an exception in the publication of a drain kept its timers from being set, proxies would
    not get the drain within its grace period, and the log would not name those that missed it.
    """
    made: Any = object.__new__(ControlService)
    steps = {name: mock.Mock() for name in ("_publish", "_push_drain", "_report_drains")}
    steps["_publish"].side_effect = ZeroDivisionError
    for name, step in steps.items():
        monkeypatch.setattr(made, name, step)
    pool: Any = mock.Mock()
    pool.config.settings.drain_grace = 10_000_000  # 10 ms

    async def scenario() -> None:
        made._on_drain(pool)
        async with asyncio.timeout(5.0):
            while not all(step.called for step in steps.values()):
                await asyncio.sleep(0.001)

    asyncio.run(scenario())
