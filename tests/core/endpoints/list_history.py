"""Histories of a list, by seed."""

from __future__ import annotations

from random import Random

from simulation.list_world.rows import encode_row


def history(seed: int, versions: int) -> list[dict[str, str]]:
    """A service's rows by version, from 1 on; some versions replace most of them."""
    draw = Random(seed)
    rows = {f"s{i}": encode_row(i) for i in range(12)}
    found = [dict(rows)]
    for generation in range(1, versions):
        for _ in range(8 if draw.random() < 0.2 else 1):
            uid = f"s{draw.randrange(16)}"
            if uid in rows and draw.random() < 0.4:
                del rows[uid]
            else:
                rows[uid] = encode_row(int(uid[1:]), generation)
        found.append(dict(rows))
    return found
