"""The consul file, and the token that it names."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.cli.check import check_any
from loadbalancer.core import Effect, RequestClass, Scope, Settings
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.sources.consul.credentials import read_token
from loadbalancer.sources.consul.datacentre_reader import ROUND_INTERVAL_S
from loadbalancer.sources.consul.file import ConsulError, read_consul
from loadbalancer.sources.consul.source import ConsulMembers
from tests.sources.consul.support import write_file

AGENT = "127.0.0.1:8500"


@pytest.mark.parametrize(
    ("old", "new", "line", "rule"),
    [
        ("version = 1", "version = 2", 1, "version"),
        ('agents = ["127.0.0.1:8500"]', "agents = []", 2, "missing-key"),
        ('agents = ["127.0.0.1:8500"]', 'agents = ["here"]', 2, "bad-value"),
        ('service = "topup"', "service = 5", 3, "missing-key"),
        ('{ dc1 = "east" }', "5", 4, "bad-value"),
        ('fresh = "5s"', 'fresh = "soon"', 5, "bad-value"),
        ('fresh = "5s"', "readers = 500", 5, "thin-share"),
        ('fresh = "5s"', "lines = 0", 5, "bad-value"),
        ('fresh = "5s"', "odd = 1", 5, "unknown-key"),
        ('fresh = "5s"', 'consistency = "odd"', 5, "bad-value"),
        ('fresh = "5s"', 'read = "odd"', 5, "bad-value"),
        ('fresh = "5s"', 'shard_by = "odd"', 5, "bad-value"),
        ('fresh = "5s"', 'tags = ["odd tag"]', 5, "bad-value"),
        ('fresh = "5s"', "platform = 1", 5, "bad-value"),
    ],
)
def test_a_fault_in_the_file_is_named(
    tmp_path: Path, old: str, new: str, line: int, rule: str
) -> None:
    path = write_file(tmp_path, AGENT)
    path.write_text(path.read_text().replace(old, new))
    with pytest.raises(ConsulError) as caught:
        read_consul(str(path))
    assert f"{path}:{line}: [{rule}]" in str(caught.value)


@pytest.mark.parametrize("key", ["token_file", "ca_file"])
def test_a_path_that_is_no_string_is_reported_like_any_other_fault(
    tmp_path: Path, key: str
) -> None:
    """An operator writes `token_file = 5`, and `check` calls the file good.

    The paths were read after the faults had been looked at, so that theirs were lost; a node then
    took the file's folder for its token.
    """
    path = write_file(tmp_path, AGENT, more=f"{key} = 5\n")
    faults = check_any(str(path), None).faults
    assert [str(fault) for fault in faults] == [f"6: [missing-key] {key} is no string; write one"]
    with pytest.raises(ConsulError, match=rf":6: \[missing-key\] {key} is no string"):
        read_consul(str(path))


def test_each_reader_gets_its_part_of_the_lines_less_a_margin(tmp_path: Path) -> None:
    path = write_file(tmp_path, AGENT, more="readers = 21\n")
    assert read_consul(str(path)).lines_per_second == 9


def test_a_list_is_not_stale_between_two_rounds() -> None:
    assert ConsulMembers.stale_after_ns > 2 * ROUND_INTERVAL_S * SECOND


# ---- the token -------------------------------------------------------------


@pytest.fixture
def token_file(tmp_path: Path) -> Path:
    """A file that only its owner can read."""
    path = tmp_path / "token"
    path.touch(0o600)
    return path


def test_a_token_is_read(token_file: Path) -> None:
    token_file.write_text("s3cret\n")
    assert read_token(token_file) == "s3cret"


def test_a_token_that_others_may_read_is_rejected_and_not_shown(token_file: Path) -> None:
    token_file.write_text("s3cret\n")
    token_file.chmod(0o644)
    with pytest.raises(ConsulError, match="chmod 600") as caught:
        read_token(token_file)
    assert "s3cret" not in str(caught.value)


def test_a_token_with_a_line_break_is_rejected_and_not_shown(token_file: Path) -> None:
    """It would add a header field to each request."""
    token_file.write_text("two\r\nHeader: x")
    with pytest.raises(ConsulError, match="no token") as caught:
        read_token(token_file)
    assert "Header" not in str(caught.value)


KEYED_BY_CELL = Settings(
    classes=(
        RequestClass("balance", 1, 2),
        RequestClass("topup", 1, 2, Effect.TOKEN, Scope.CELL, 1),
        RequestClass("by-zone", 1, 2, Effect.TOKEN, Scope.ZONE, 1),
    )
)


@pytest.mark.parametrize(
    ("more", "is_warned"),
    [("", True), ('cell_meta = "cell"\n', False), ("platform = true\n", False)],
)
def test_a_class_that_can_not_be_repeated_is_told_before_a_node_serves_it(
    tmp_path: Path, more: str, is_warned: bool
) -> None:
    path = write_file(tmp_path, AGENT, more=more)
    result = check_any(str(path), KEYED_BY_CELL)
    assert not result.faults
    assert [str(warning) for warning in result.warnings] == [
        "3: [no-cell] no source tells a server's cell, so requests of topup are not repeated once "
        'they may have been executed; write cell_meta = "cell", the key of a server\'s meta that '
        "has its number"
    ][: int(is_warned)]
    assert not check_any(str(path), None).warnings
