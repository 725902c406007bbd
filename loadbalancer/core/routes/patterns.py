"""Host names and path patterns as a routes file writes them."""

from __future__ import annotations

import re

from loadbalancer.core.routes.canonical import FormError, canonical_host, canonical_path
from loadbalancer.core.routes.table import Pattern

MAX_PATTERN = 64  # segments

_PARAMETER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}").fullmatch


def check_host(text: object) -> str:
    """A host's name, `*.suffix` or `*`; FormError where no canonical host could fit it."""
    if not isinstance(text, str):
        raise FormError("it is no string")
    if text == "*":
        return text
    name = text[2:] if text.startswith("*.") else text
    host, port = canonical_host(name.encode())
    if port or host.decode() != name or (name is not text and name[:1] == "["):
        raise FormError(f"its canonical form is {host.decode()!r}")
    return text


def parse_pattern(text: str, prefix: bool) -> Pattern:
    """A path's segments; FormError where no canonical path could fit it."""
    try:
        raw = text.encode("ascii")
    except UnicodeEncodeError:
        raise FormError("a path holds ASCII only, other bytes as %XX") from None
    if raw[:1] != b"/":
        raise FormError("a path begins with /")
    if prefix and raw == b"/":
        return Pattern((), prefix=True)
    if prefix and raw.endswith(b"/"):
        raise FormError("a prefix ends without /: it is whole segments anyway")
    segments = _segments(text)
    plain = b"/" + b"/".join(b"x" if s is None else s for s in segments)
    canonical = canonical_path(plain)
    if canonical != plain:
        raise FormError(f"no request has it: its canonical form is {canonical.decode()!r}")
    return Pattern(segments, prefix)


def _segments(text: str) -> tuple[bytes | None, ...]:
    """What the slashes divide, None for each parameter."""
    segments: list[bytes | None] = []
    names = set()
    for part in text[1:].split("/"):
        if _PARAMETER(part):
            if part in names:
                raise FormError(f"{part} stands in it twice")
            names.add(part)
            segments.append(None)
        elif "{" in part or "}" in part:
            raise FormError("a parameter is a whole segment, {name}")
        else:
            segments.append(part.encode())
    if len(segments) > MAX_PATTERN:
        raise FormError(f"a pattern has at most {MAX_PATTERN} segments")
    return tuple(segments)
