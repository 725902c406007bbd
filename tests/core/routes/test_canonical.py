"""Tests that each host and path has one canonical form or is rejected."""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.routes.canonical import (
    FormError,
    canonical_host,
    canonical_path,
    is_canonical,
    target,
)

PATHS = {
    b"/": b"/",
    b"/balance/7f3a": b"/balance/7f3a",
    b"/balance/": b"/balance/",
    b"/%62alance/%7E%41": b"/balance/~A",
    b"/a/%c3%a9": b"/a/%C3%A9",
    b"//balance///x": b"/balance/x",
    b"/a/./b/../c": b"/a/c",
    b"/a/%2e%2E/credit": b"/credit",
    b"/a/b/..": b"/a/",
    b"/a/.": b"/a/",
    b"/a//../b": b"/a/b",
    b"/a/...": b"/a/...",
    b"/a/.b/..c": b"/a/.b/..c",
    b"/a%252Fb": b"/a%252Fb",
    b"/a;v=1/b,c@d": b"/a;v=1/b,c@d",
    b"/" + b"x" * 8191: b"/" + b"x" * 8191,
}
INVALID_PATHS = [
    b"", b"balance", b"*", b"/a%2Fb", b"/a%2fb", b"/a%5Cb", b"/a\\b", b"/%00", b"/a%0d%0ab",
    b"/%", b"/%4", b"/%zz", b"/%+1", b"/% 1", b"/..", b"/a/../../b", b"/%2e%2e/a", b"/a b",
    b"/a#b", b"/\xc3\xa9", b"/a<b", b"/" + b"x" * 8192, b"/a" * 257, b"/." * 257,
]  # fmt: skip


@pytest.mark.parametrize("raw", PATHS)
def test_equivalent_paths_have_one_canonical_form(raw: bytes) -> None:
    assert canonical_path(raw) == PATHS[raw]


@pytest.mark.parametrize("raw", INVALID_PATHS)
def test_invalid_or_ambiguous_path_is_rejected(raw: bytes) -> None:
    with pytest.raises(FormError):
        canonical_path(raw)


@settings(max_examples=500, derandomize=True, deadline=None)
@given(st.lists(st.sampled_from([b"a", b".", b"..", b"", b"%2e", b"%41", b"%2F", b"%c3", b"%"])))
def test_canonical_path_is_unchanged_by_canonicalization(parts: list[bytes]) -> None:
    try:
        form = canonical_path(b"/" + b"/".join(parts))
    except FormError:
        return
    assert canonical_path(form) == form
    inner = form[1:].split(b"/")
    assert not {b".", b".."} & set(inner)
    assert b"" not in inner[:-1]
    assert not re.search(rb"%(2[EeFf]|41|c3)", form)


HOSTS = {
    b"Topup.Example.ORG": (b"topup.example.org", b""),
    b"topup.example.org:8080": (b"topup.example.org", b"8080"),
    b"topup.example.org.": (b"topup.example.org", b""),
    b"topup.example.org.:80": (b"topup.example.org", b"80"),
    b"a:": (b"a", b""),
    b"127.0.0.1:1": (b"127.0.0.1", b"1"),
    b"[2001:DB8:0:0::1]:443": (b"[2001:db8::1]", b"443"),
    b"[::1]": (b"[::1]", b""),
}
INVALID_HOSTS = [
    b"", b".", b"a..b", b"-a", b"a-", b"a b", b"user@a", b"a:80:90", b"a:x", b"a:99999", b"[::1",
    b"[::1]x", b"[a]", b"[fe80::1%eth0]", b"::1", b"a/b", b"\xc3\xa9", b"a" * 262, b"a?b", b"*.a",
]  # fmt: skip


@pytest.mark.parametrize("raw", HOSTS)
def test_equivalent_hosts_have_one_canonical_form(raw: bytes) -> None:
    assert canonical_host(raw) == HOSTS[raw]


@pytest.mark.parametrize("raw", INVALID_HOSTS)
def test_invalid_host_is_rejected(raw: bytes) -> None:
    with pytest.raises(FormError):
        canonical_host(raw)


def test_fast_check_accepts_only_canonical_paths() -> None:
    for raw in (*PATHS, *INVALID_PATHS):
        if is_canonical(raw):
            assert PATHS[raw] == raw
    assert is_canonical(b"/balance/7f3a")
    assert is_canonical(b"/")


def test_target_keeps_query_and_returns_authority() -> None:
    assert target(b"/a/./b?x=/../%2F") == (b"/a/b", b"?x=/../%2F", None)
    assert target(b"HTTP://A.org:80/b?c") == (b"/b", b"?c", b"A.org:80")
    assert target(b"https://a.org?c") == (b"/", b"?c", b"a.org")
    for raw in (b"*", b"a.org:443", b"ftp://a/b", b"/a?b#c", b"/a?b c", b"/a?\xff"):
        with pytest.raises(FormError):
            target(raw)
