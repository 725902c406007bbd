"""The command line of worlds that are drawn from seeds."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence
from multiprocessing import Pool


def run(
    doc: str | None,
    module: str,
    play: Callable[[int], list[str]],
    seeds: int,
    processes: int | None,
    digest_of: Callable[[int], str],
) -> int:
    """Play one seed, or `seeds` of them; 0 where none breaks a rule, 1 where one does.

    `play` gives a seed's breaches. Each seed that fails is printed as a command of `module`.
    With `--digest` each seed is printed with its digest instead, which `digest_of` gives.
    """
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument("--seeds", type=int, default=seeds)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--digest", action="store_true", help="print a digest of each seed's run")
    parser.add_argument("--processes", type=int, default=processes)
    args = parser.parse_args()
    if args.digest:
        numbers = range(args.seeds) if args.seed is None else [args.seed]
        for seed, value in digests(digest_of, numbers, args.processes).items():
            print(seed, value)
        return 0
    if args.seed is not None:
        breaches = play(args.seed)
        print("\n".join(breaches) or "no rule broken")
        return 1 if breaches else 0
    with Pool(args.processes) as pool:
        results = pool.map(play, range(args.seeds), chunksize=4)
    failed = [seed for seed, breaches in enumerate(results) if breaches]
    for seed in failed:
        print(f"python -m {module} --seed {seed}  # {results[seed][0]}")
    print(f"{args.seeds} seeds, {len(failed)} broke a rule")
    return 1 if failed else 0


def digests(
    digest_of: Callable[[int], str], seeds: Sequence[int], processes: int | None
) -> dict[int, str]:
    """The digest of each of these seeds' runs."""
    with Pool(processes) as pool:
        return dict(zip(seeds, pool.map(digest_of, seeds, chunksize=1), strict=True))
