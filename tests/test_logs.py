"""The format and rate limit of log lines, and a standard error that can't be written to."""

from __future__ import annotations

import io
import logging

import pytest

from loadbalancer import logs


@pytest.fixture(autouse=True)
def _root_logger(monkeypatch: pytest.MonkeyPatch) -> None:
    """Restores the program's root logger after each test."""
    root = logging.getLogger(logs.ROOT_LOGGER)
    monkeypatch.setattr(root, "handlers", [])
    monkeypatch.setattr(root, "propagate", True)


def test_a_line_is_the_prefix_and_the_message(capsys: pytest.CaptureFixture[str]) -> None:
    logs.configure("n3")
    logging.getLogger("loadbalancer.proxy.host").info("listening on %s:%d", "127.0.0.1", 8080)
    assert capsys.readouterr().err == "n3: listening on 127.0.0.1:8080\n"


def test_the_traceback_of_an_exception_follows_its_message(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Without the traceback, whoever is on call learns that something failed but not why."""
    logs.configure("n3")
    logger = logging.getLogger("loadbalancer.sources.discovery")
    try:
        int("seven")
    except ValueError:
        logger.exception("applying the list failed")
    lines = capsys.readouterr().err.splitlines()
    assert lines[0] == "n3: applying the list failed: Traceback (most recent call last):"
    assert lines[-1] == "ValueError: invalid literal for int() with base 10: 'seven'"


def test_lines_beyond_the_limit_per_second_are_dropped(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 5 * logs.NS_PER_SECOND
    monkeypatch.setattr("time.monotonic_ns", lambda: now)
    logs.configure("n3", lines_per_second=2)
    logger = logging.getLogger("loadbalancer.proxy.host")
    for number in range(4):
        logger.info("line %d", number)
    now += logs.NS_PER_SECOND
    logger.info("line 4")
    assert capsys.readouterr().err.splitlines() == ["n3: line 0", "n3: line 1", "n3: line 4"]


def test_a_log_whose_reader_is_stuck_raises_nothing() -> None:
    """A full pipe behind a non-blocking standard error raises BlockingIOError at each write."""

    class Full(io.StringIO):
        def write(self, _text: str) -> int:
            raise BlockingIOError

    handler = logs.LineHandler("n3", Full())
    record = logging.LogRecord("loadbalancer", logging.INFO, __file__, 1, "text", (), None)
    handler.emit(record)


def test_a_second_configuration_replaces_the_first(capsys: pytest.CaptureFixture[str]) -> None:
    logs.configure("n3")
    logs.configure("control")
    logging.getLogger("loadbalancer.control").info("reloaded")
    assert capsys.readouterr().err == "control: reloaded\n"
