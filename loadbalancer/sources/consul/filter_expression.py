"""A query for shards as Consul's filter expression.

Source: Consul HTTP API, "Filtering": selectors, `matches`, `and`, `or`.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from loadbalancer.core.endpoints.shard_leaves import ALPHABET, BOUNDARY, OTHER
from loadbalancer.core.endpoints.shard_scheduler import QueryKind, ShardQuery


def filter_expression(query: ShardQuery, selector: str = "Service.ID") -> str:
    """The filter of the servers that a query is for; `selector` names the field of the keys."""
    plain = [leaf for leaf in query.leaves if leaf != OTHER]
    expression = f'{selector} matches "(?i)({_pattern(plain)})$"' if plain else ""
    if OTHER in query.leaves:
        other = f'{selector} not matches "(?i)[0-9a-z]$"'
        expression = f"({expression} or {other})" if expression else other
    if query.kind is QueryKind.UNHEALTHY:
        # Not `!= "passing"`: on a list it may mean any check or all of them.
        return f'{expression} and Checks.Status matches "critical|warning|maintenance"'
    return expression


def _pattern(leaves: Sequence[str]) -> str:
    """A regular expression of leaves, grouped by their ends: [0123]7|(^|[^0-9a-z])x."""
    firsts_by_end: dict[str, list[str]] = {}
    for leaf in sorted(leaves):
        firsts_by_end.setdefault(leaf[1:], []).append(leaf[0])
    alternatives = []
    for end, firsts in firsts_by_end.items():
        plain = "".join(first for first in firsts if first != BOUNDARY)
        if BOUNDARY in firsts and len(plain) == len(ALPHABET):
            alternatives.append(re.escape(end))  # any character, or none, may precede
            continue
        if plain:
            alternatives.append(f"[{plain}]{end}")
        if BOUNDARY in firsts:
            alternatives.append(f"(^|[^0-9a-z]){end}")
    return "|".join(alternatives)
