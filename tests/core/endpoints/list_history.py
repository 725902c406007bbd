"""Random histories of a list, for tests of its replicas."""

from __future__ import annotations

from random import Random

from simulation.list_world.rows import encode_row


def history(seed: int, versions: int) -> list[dict[str, str]]:
    """The rows of each version, from 1 on; some versions replace most rows."""
    random = Random(seed)
    rows = {f"s{i}": encode_row(i) for i in range(12)}
    rows_by_version = [dict(rows)]
    for generation in range(1, versions):
        for _ in range(8 if random.random() < 0.2 else 1):
            uid = f"s{random.randrange(16)}"
            if uid in rows and random.random() < 0.4:
                del rows[uid]
            else:
                rows[uid] = encode_row(int(uid[1:]), generation)
        rows_by_version.append(dict(rows))
    return rows_by_version
