"""Whether an agent's response can be used.

Source: Consul HTTP API, "Consistency modes": X-Consul-LastContact in milliseconds, and
X-Consul-KnownLeader. "Blocking queries": X-Consul-Index.
"""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer.core.errors import ProtocolError
from loadbalancer.sources.http_get import Response, parse_decimal

MS_PER_SECOND = 1000
MAX_SHOWN = 20  # characters of a header field's value in the log


class ResponseError(ProtocolError):
    """A response that can't be used; the text says why."""


class TokenRefusedError(ResponseError):
    """The agent does not accept the token."""


def check_response(response: Response | None, max_age_s: int) -> Response:
    """The response, where it can be used.

    Raises:
        TokenRefusedError: the token has to be renewed.
        ResponseError: it can't be used for another reason, or None came in full.
    """
    if response is None:
        raise ResponseError("no whole answer")
    if response.status == HTTPStatus.FORBIDDEN:
        raise TokenRefusedError(f"status {response.status}")
    if response.status != HTTPStatus.OK:
        raise ResponseError(f"status {response.status}")
    if response.headers.get("x-consul-knownleader", "true") != "true":
        raise ResponseError("its servers know no leader")
    last_contact = response.headers.get("x-consul-lastcontact", "0")
    age_ms = parse_decimal(last_contact)
    if age_ms is None or age_ms > max_age_s * MS_PER_SECOND:
        raise ResponseError(f"its word is {last_contact[:MAX_SHOWN]} ms old")
    return response


def index_of(response: Response) -> int:
    """The index of the response's data; 0 for none that can be used."""
    return parse_decimal(response.headers.get("x-consul-index", "0")) or 0
