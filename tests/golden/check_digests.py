"""All recorded digests of seeds against the code as it is.

python -m tests.golden.check_digests            # four processes; prints which seeds differ
python -m tests.golden.check_digests --record   # write them anew, where a change is meant
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from pathlib import Path

from simulation import control_faults, fleet_faults, list_callers
from simulation.seeds import digests

DATA = Path(__file__).parent / "data" / "digests"
PROCESSES = 4
SEEDS = 20
WORLDS: dict[str, Callable[[int], str]] = {
    "fleet_play": fleet_faults.digest_of,
    "scale_play": control_faults.digest_of,
    "list_callers": list_callers.digest_of,
}


def recorded(world: str) -> dict[int, str]:
    """The digests of a world by seed, as they were recorded."""
    found = json.loads((DATA / f"{world}.json").read_text())
    return {int(seed): value for seed, value in found.items()}


def record(world: str, processes: int) -> None:
    """Write a world's digests anew."""
    found = digests(WORLDS[world], range(SEEDS), processes)
    text = json.dumps({str(seed): value for seed, value in found.items()}, indent=1)
    (DATA / f"{world}.json").write_text(text + "\n")


def differing(world: str, processes: int) -> list[int]:
    """The seeds of a world whose runs differ from the recorded ones."""
    expected = recorded(world)
    found = digests(WORLDS[world], sorted(expected), processes)
    return [seed for seed in expected if found[seed] != expected[seed]]


def main() -> int:
    """0 where all are as recorded, 1 where one isn't."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--record", action="store_true")
    args = parser.parse_args()
    differs = False
    for world in WORLDS:
        if args.record:
            record(world, args.processes)
            continue
        seeds = differing(world, args.processes)
        differs = differs or bool(seeds)
        print(f"{world}: {len(recorded(world))} seeds, differing: {seeds or 'none'}")
    return 1 if differs else 0


if __name__ == "__main__":
    sys.exit(main())
