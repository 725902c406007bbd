"""Canonical form of hosts and paths, used both for matching and for forwarding.

Spellings that a server may treat as the same resource are normalized to one form
or rejected. Otherwise a request could be matched by one route's policy while the
server runs it as a request of another route. References: RFC 3986 sections 3.2.2,
5.2.4 and 6.2.2; RFC 9112 section 3.2. All functions are pure and work on bytes.
"""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv6Address
from typing import NamedTuple

from loadbalancer.core.errors import ProtocolError

MAX_PATH = 8192  # bytes, before normalization
MAX_SEGMENTS = 256
MAX_HOST = 255
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
FIRST_PRINTABLE = 0x20  # ASCII code; lower codes and DELETE are control characters
DELETE = 0x7F

_SEGMENT = rb"[A-Za-z0-9\-._~!$&'()*+,;=:@]"
# A path that is already canonical: no percent-encoding, empty segment or dot segment.
# Nearly every request matches this.
_PLAIN = re.compile(rb"(?:/(?!\.{1,2}(?:/|\Z))" + _SEGMENT + rb"+)+/?|/").fullmatch
# Like _PLAIN, but also without segments that begin with a dot. This avoids the lookahead and
# takes a third of the time.
_PLAIN_WITHOUT_DOTS = re.compile(
    rb"(?:/[A-Za-z0-9\-_~!$&'()*+,;=:@][A-Za-z0-9\-._~!$&'()*+,;=:@]*)+/?|/"
).fullmatch
_PATH_CHARACTERS = re.compile(rb"(?:" + _SEGMENT + rb"|[/%])*").fullmatch
_HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]{2}").fullmatch
_TRIPLET = re.compile(rb"%(..)?", re.DOTALL)
_QUERY = re.compile(rb"[\x21\x22\x24-\x7e]*").fullmatch
_HOST_NAME = re.compile(
    rb"[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?(?:\.[a-z0-9_](?:[a-z0-9_-]*[a-z0-9_])?)*"
)
_UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_ABSOLUTE_FORM = re.compile(rb"(?i:https?)://([^/?]*)(.*)", re.DOTALL).fullmatch


class FormError(ProtocolError, ValueError):
    """A host or path that has no canonical form; the message names the violated rule."""


class Target(NamedTuple):
    """A parsed request target with a canonical `path`.

    `query` is unchanged and includes its leading `?`; it is empty if there is none.
    `authority` comes from the absolute form, where it takes precedence over the Host
    field (RFC 9112 section 3.2.2). It is None in the origin form.
    """

    path: bytes
    query: bytes
    authority: bytes | None


def is_canonical(raw: bytes) -> bool:
    """Fast check for a canonical path without a query; may return False for one that is."""
    return len(raw) <= MAX_SEGMENTS and _PLAIN_WITHOUT_DOTS(raw) is not None


def target(raw: bytes) -> Target:
    """Split and normalize a request target; raises FormError if it is invalid or ambiguous."""
    authority = None
    if raw[:1] != b"/":
        match = _ABSOLUTE_FORM(raw)
        if match is None:
            raise FormError("request target is neither an absolute path nor an http URL")
        authority, raw = match.groups()
        if raw[:1] != b"/":
            raw = b"/" + raw
    path, mark, query = raw.partition(b"?")
    if mark and not _QUERY(query):
        raise FormError(
            "query contains a fragment, a space, a control character or a non-ASCII byte"
        )
    return Target(canonical_path(path), mark + query, authority)


def canonical_path(raw: bytes) -> bytes:
    """Return the canonical form of an absolute path without a query.

    Percent-encoded unreserved characters are decoded and the other triplets
    converted to upper case, then dot segments are removed, then empty segments. A
    trailing slash is kept. FormError is raised for an encoded slash, backslash or
    control character (servers disagree on whether they separate segments), for `..`
    above the root, and for characters that RFC 3986 does not allow.
    """
    if len(raw) > MAX_PATH:
        raise FormError(f"path is longer than {MAX_PATH} bytes")
    if _PLAIN(raw):
        if raw.count(b"/") > MAX_SEGMENTS:
            raise FormError(f"path has more than {MAX_SEGMENTS} segments")
        return raw
    if raw[:1] != b"/":
        raise FormError("path does not begin with /")
    if not _PATH_CHARACTERS(raw):
        raise FormError("path contains a character that RFC 3986 does not allow")
    if raw.count(b"/") > MAX_SEGMENTS:
        raise FormError(f"path has more than {MAX_SEGMENTS} segments")
    segments = _remove_dot_segments(_TRIPLET.sub(_normalize_triplet, raw).split(b"/")[1:])
    trailing = not segments or segments[-1] == b""
    named = [segment for segment in segments if segment]
    if not named:
        return b"/"
    return b"/" + b"/".join(named) + (b"/" if trailing else b"")


def _normalize_triplet(match: re.Match[bytes]) -> bytes:
    digits = match[1]
    if digits is None or not _HEX_DIGITS(digits):
        raise FormError("% in the path is not followed by two hex digits")
    code = int(digits, 16)
    if code in _UNRESERVED:
        return bytes((code,))
    if code in b"/\\":
        raise FormError("path contains an encoded slash or backslash")
    if code < FIRST_PRINTABLE or code == DELETE:
        raise FormError("path contains an encoded control character")
    return b"%%%02X" % code


def _remove_dot_segments(segments: list[bytes]) -> list[bytes]:
    normalized: list[bytes] = []
    last = len(segments) - 1
    for i, segment in enumerate(segments):
        if segment == b"..":
            if not normalized:
                raise FormError(".. in the path leads above the root")
            normalized.pop()
        elif segment != b".":
            normalized.append(segment)
            continue
        if i == last:
            normalized.append(b"")  # "/a/." and "/a/b/.." both become "/a/"
    return normalized


def canonical_host(raw: bytes) -> tuple[bytes, bytes]:
    """Return the canonical host and the port (empty if absent) of a Host field or authority.

    Names and IPv4 addresses are converted to lower case without a trailing dot, IPv6
    literals to the compressed form of RFC 5952 in brackets. Anything else raises
    FormError, including an authority with user information.
    """
    if not raw or len(raw) > MAX_HOST + 6:
        raise FormError(f"host is empty or longer than {MAX_HOST} bytes")
    if raw[:1] == b"[":
        literal, bracket, after = raw[1:].partition(b"]")
        if not bracket or b"%" in literal:
            raise FormError("host in brackets is not an IPv6 address")
        try:
            host = b"[" + str(IPv6Address(literal.decode("ascii"))).encode() + b"]"
        except (AddressValueError, UnicodeDecodeError):
            raise FormError("host in brackets is not an IPv6 address") from None
        name, colon, port = b"", after[:1], after[1:]
        if after and colon != b":":
            raise FormError(
                "closing bracket of the host is followed by something other than a port"
            )
    else:
        name, colon, port = raw.partition(b":")
        name = name.lower()
        host = name[:-1] if name[-1:] == b"." else name
        if len(host) > MAX_HOST or not _HOST_NAME.fullmatch(host):
            raise FormError(
                "host is not a list of labels of letters, digits, - and _ separated by dots"
            )
    if port and (not port.isdigit() or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT):
        raise FormError("port is not a number from 0 to 65535")
    return host, port
