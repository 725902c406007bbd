"""One canonical form for hosts and paths, used for matching and for what goes on.

Two spellings that a server may take for the same resource get one form here, or
are refused: otherwise a request could be matched under one route's policy and
run under another's. Sources: RFC 3986 sections 3.2.2, 5.2.4 and 6.2.2; RFC 9112
section 3.2. Pure functions over bytes.
"""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv6Address
from typing import NamedTuple

from loadbalancer.core.errors import ProtocolError

MAX_PATH = 8192  # bytes, as sent
MAX_SEGMENTS = 256
MAX_HOST = 255
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
FIRST_PRINTABLE = 0x20  # of ASCII, as DELETE is
DELETE = 0x7F

_SEGMENT = rb"[A-Za-z0-9\-._~!$&'()*+,;=:@]"
# Nothing encoded, no empty and no dot segment: what nearly every request has.
_PLAIN = re.compile(rb"(?:/(?!\.{1,2}(?:/|\Z))" + _SEGMENT + rb"+)+/?|/").fullmatch
# As above for segments that begin with no dot: without the look ahead it costs a third.
_QUICK = re.compile(
    rb"(?:/[A-Za-z0-9\-_~!$&'()*+,;=:@][A-Za-z0-9\-._~!$&'()*+,;=:@]*)+/?|/"
).fullmatch
_ALLOWED = re.compile(rb"(?:" + _SEGMENT + rb"|[/%])*").fullmatch
_HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]{2}").fullmatch
_TRIPLET = re.compile(rb"%(..)?", re.DOTALL)
_QUERY = re.compile(rb"[\x21\x22\x24-\x7e]*").fullmatch
_LABELS = re.compile(
    rb"[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?(?:\.[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?)*"
)
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_ABSOLUTE = re.compile(rb"(?i:https?)://([^/?]*)(.*)", re.DOTALL).fullmatch


class FormError(ProtocolError, ValueError):
    """A host or path without a canonical form; the text says which rule it breaks."""


class Target(NamedTuple):
    """A request target: `path` canonical, `query` with its `?` or empty, unchanged.

    `authority` is that of the absolute form (it goes before Host, RFC 9112
    section 3.2.2), None in the origin form.
    """

    path: bytes
    query: bytes
    authority: bytes | None


def is_canonical(raw: bytes) -> bool:
    """Whether a target is a canonical path with no query, by a quick look that may say no."""
    return len(raw) <= MAX_SEGMENTS and _QUICK(raw) is not None


def target(raw: bytes) -> Target:
    """Take apart and canonise a request target; FormError where it has no one meaning."""
    authority = None
    if raw[:1] != b"/":
        match = _ABSOLUTE(raw)
        if match is None:
            raise FormError("a request target is a path or an http URL")
        authority, raw = match.groups()
        if raw[:1] != b"/":
            raw = b"/" + raw
    path, mark, query = raw.partition(b"?")
    if mark and not _QUERY(query):
        raise FormError("a query holds no fragment, space or byte beyond ASCII")
    return Target(canonical_path(path), mark + query, authority)


def canonical_path(raw: bytes) -> bytes:
    """The canonical form of an absolute path without its query.

    Unreserved characters are decoded and other triplets upper-cased, then dot
    segments removed, then empty segments; a trailing slash stays. Refused are an
    encoded slash, backslash or control character (servers disagree on whether
    they divide), `..` above the root, and what RFC 3986 does not allow.
    """
    if len(raw) > MAX_PATH:
        raise FormError(f"a path has at most {MAX_PATH} bytes")
    if _PLAIN(raw):
        if raw.count(b"/") > MAX_SEGMENTS:
            raise FormError(f"a path has at most {MAX_SEGMENTS} segments")
        return raw
    if raw[:1] != b"/":
        raise FormError("a path begins with /")
    if not _ALLOWED(raw):
        raise FormError("a path holds a character that RFC 3986 does not allow there")
    if raw.count(b"/") > MAX_SEGMENTS:
        raise FormError(f"a path has at most {MAX_SEGMENTS} segments")
    segments = _without_dots(_TRIPLET.sub(_decoded, raw).split(b"/")[1:])
    trailing = not segments or segments[-1] == b""
    named = [segment for segment in segments if segment]
    if not named:
        return b"/"
    return b"/" + b"/".join(named) + (b"/" if trailing else b"")


def _decoded(match: re.Match[bytes]) -> bytes:
    digits = match[1]
    if digits is None or not _HEX_DIGITS(digits):
        raise FormError("a % in a path is followed by two hex digits")
    code = int(digits, 16)
    if code in _UNRESERVED:
        return bytes((code,))
    if code in b"/\\":
        raise FormError("a path holds no encoded slash or backslash")
    if code < FIRST_PRINTABLE or code == DELETE:
        raise FormError("a path holds no encoded control character")
    return b"%%%02X" % code


def _without_dots(segments: list[bytes]) -> list[bytes]:
    out: list[bytes] = []
    last = len(segments) - 1
    for i, segment in enumerate(segments):
        if segment == b"..":
            if not out:
                raise FormError("a path's .. leads above the root")
            out.pop()
        elif segment != b".":
            out.append(segment)
            continue
        if i == last:
            out.append(b"")  # "/a/." and "/a/b/.." are the folder "/a/"
    return out


def canonical_host(raw: bytes) -> tuple[bytes, bytes]:
    """The canonical host and the port (empty where none) of a Host field or authority.

    Names and IPv4 addresses in lower case without a trailing dot, IPv6 literals
    in brackets in the short form of RFC 5952. FormError for anything else, user
    information included.
    """
    if not raw or len(raw) > MAX_HOST + 6:
        raise FormError(f"a host has 1 to {MAX_HOST} bytes")
    if raw[:1] == b"[":
        literal, bracket, after = raw[1:].partition(b"]")
        if not bracket or b"%" in literal:
            raise FormError("a host in brackets is an IPv6 address")
        try:
            host = b"[" + str(IPv6Address(literal.decode("ascii"))).encode() + b"]"
        except (AddressValueError, UnicodeDecodeError):
            raise FormError("a host in brackets is an IPv6 address") from None
        name, colon, port = b"", after[:1], after[1:]
        if after and colon != b":":
            raise FormError("a host's closing bracket is followed by a port or nothing")
    else:
        name, colon, port = raw.partition(b":")
        name = name.lower()
        host = name[:-1] if name[-1:] == b"." else name
        if len(host) > MAX_HOST or not _LABELS.fullmatch(host):
            raise FormError("a host is labels of letters, digits, - and _ divided by dots")
    if port and (not port.isdigit() or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT):
        raise FormError("a host's port is a number up to 65535")
    return host, port
