"""A backend's load report, from the field's value to the settings' columns."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from loadbalancer.proxy.upstream.load_report import COLUMN_OF_WIRE_NAME, parse_load_report


@pytest.mark.parametrize(
    ("value", "columns", "load"),
    [
        (b"rif=3,q=2.5", ("q", "rif"), (2.5, 3.0)),
        (b" inflight=3 , queue=2", ("rif", "q"), (3.0, 2.0)),
        (b"inflight=3", ("inflight",), (3.0,)),  # settings may use the wire's name too
        (b"rif=3,other=1", ("rif",), (3.0,)),
        (b"rif=3", (), ()),
        (b"rif=3", ("rif", "q"), ()),  # one is missing
        (b"rif=3,q=x", ("rif",), ()),  # one is malformed, even if it is not asked for
        (b"rif=nan", ("rif",), ()),
        (b"rif=inf", ("rif",), ()),
        (b"=,=", ("rif",), ()),
        (b"\xff=1", ("rif",), ()),
        (b"", ("rif",), ()),
    ],
)
def test_parse(value: bytes, columns: Sequence[str], load: Sequence[float]) -> None:
    assert parse_load_report(value, columns) == load


@pytest.mark.parametrize(("wire_name", "column"), COLUMN_OF_WIRE_NAME.items())
def test_each_wire_name_stands_for_its_column(wire_name: bytes, column: str) -> None:
    assert parse_load_report(wire_name + b"=0.5", (column,)) == (0.5,)
