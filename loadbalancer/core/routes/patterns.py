"""Parses the host names and path patterns of a routes file."""

from __future__ import annotations

import re

from loadbalancer.core.routes.canonical import FormError, canonical_host, canonical_path
from loadbalancer.core.routes.table import Pattern

MAX_PATTERN_SEGMENTS = 64

_PARAMETER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}").fullmatch


def check_host(text: object) -> str:
    """Return a host name, `*.suffix` or `*`; raises FormError if no canonical host can match."""
    if not isinstance(text, str):
        raise FormError("it is not a string")
    if text == "*":
        return text
    name = text[2:] if text.startswith("*.") else text
    host, port = canonical_host(name.encode())
    if port or host.decode() != name or (name is not text and name[:1] == "["):
        raise FormError(f"its canonical form is {host.decode()!r}")
    return text


def parse_pattern(text: str, prefix: bool) -> Pattern:
    """Parse a path pattern; raises FormError if no canonical path can match it."""
    try:
        raw = text.encode("ascii")
    except UnicodeEncodeError:
        raise FormError("path contains non-ASCII characters; write them as %XX") from None
    if raw[:1] != b"/":
        raise FormError("path does not begin with /")
    if prefix and raw == b"/":
        return Pattern((), prefix=True)
    if prefix and raw.endswith(b"/"):
        raise FormError(
            "prefix ends with /; leave it out, as a prefix always matches whole segments"
        )
    segments = _segments(text)
    plain = b"/" + b"/".join(b"x" if s is None else s for s in segments)
    canonical = canonical_path(plain)
    if canonical != plain:
        raise FormError(f"no request can match it: its canonical form is {canonical.decode()!r}")
    return Pattern(segments, prefix)


def _segments(text: str) -> tuple[bytes | None, ...]:
    """Split a path at its slashes, with None for each parameter."""
    segments: list[bytes | None] = []
    names = set()
    for part in text[1:].split("/"):
        if _PARAMETER(part):
            if part in names:
                raise FormError(f"parameter {part} occurs twice")
            names.add(part)
            segments.append(None)
        elif "{" in part or "}" in part:
            raise FormError("a parameter must be a whole segment, such as {name}")
        else:
            segments.append(part.encode())
    if len(segments) > MAX_PATTERN_SEGMENTS:
        raise FormError(f"pattern has more than {MAX_PATTERN_SEGMENTS} segments")
    return tuple(segments)
