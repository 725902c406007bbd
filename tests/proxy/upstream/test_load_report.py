"""Parsing of the X-Server-Load header field into the columns of the settings."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from loadbalancer.proxy.upstream.load_report import COLUMN_OF_WIRE_NAME, parse_load_report


@pytest.mark.parametrize(
    ("value", "columns", "load"),
    [
        (b"rif=3,q=2.5", ("q", "rif"), (2.5, 3.0)),
        (b" inflight=3 , queue=2", ("rif", "q"), (3.0, 2.0)),
        (b"inflight=3", ("inflight",), (3.0,)),  # settings may use the name on the wire too
        (b"rif=3,other=1", ("rif",), (3.0,)),
        (b"rif=3", (), ()),
        (b"rif=3", ("rif", "q"), ()),  # a column is missing
        (b"rif=3,q=x", ("rif",), ()),  # a figure is malformed, though no column uses it
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
def test_each_wire_name_maps_to_its_column(wire_name: bytes, column: str) -> None:
    assert parse_load_report(wire_name + b"=0.5", (column,)) == (0.5,)
