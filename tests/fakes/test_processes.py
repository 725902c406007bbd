"""Child processes of tests and benchmarks: their start, their log and their command lines."""

from __future__ import annotations

import json

import pytest

from fakes.processes import StartError, running_process
from tests.harness import until

ECHO = """
import sys
print("calls at 127.0.0.1:2")
print("listening on 127.0.0.1:1", flush=True)
for line in sys.stdin:
    print("a library's line")
    print(line, end="", flush=True)
"""
LAST_LINE = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (print("ended"), sys.exit()))
print("listening on 127.0.0.1:1", flush=True)
while True:
    time.sleep(1)
"""


def test_a_process_has_its_addresses_and_its_log_from_its_first_line_on() -> None:
    with running_process(("-c", ECHO)) as process:
        assert (process.address, process.admin_address) == ("127.0.0.1:1", "127.0.0.1:2")
        assert process.log_text.splitlines()[0] == "calls at 127.0.0.1:2"


def test_a_line_that_is_not_json_is_logged_and_not_taken_for_the_answer() -> None:
    with running_process(("-c", ECHO)) as process:
        assert json.loads(process.send_line('{"do": "state"}')) == {"do": "state"}
        assert "a library's line" in process.log_text


@pytest.mark.parametrize("collects", [False, True])
def test_the_log_is_complete_once_the_process_was_ended(collects: bool) -> None:
    with running_process(("-c", LAST_LINE)) as process:
        if collects:
            process.collect_log()
    assert process.log_text.splitlines() == ["listening on 127.0.0.1:1", "ended"]


def test_a_collected_log_grows_while_the_process_runs() -> None:
    with running_process(("-c", ECHO)) as process:
        process.collect_log()
        process.write_line("{}")
        until(lambda: "a library's line" in process.log_text)


def test_a_process_that_ends_before_it_listens_is_an_error_with_its_log() -> None:
    with (
        pytest.raises(StartError, match="no such option"),
        running_process(("-c", "print('no such option')")),
    ):
        pass


def test_what_a_process_uses_is_read_while_it_runs() -> None:
    with running_process(("-c", ECHO), {"PYTHONHASHSEED": "0"}) as process:
        assert process.cpu_seconds() > 0
        assert process.resident_mb() > 1
        assert process.open_descriptors() >= 3  # the standard ones
