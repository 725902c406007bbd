"""The command line of a world that is drawn from seeds."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing import Pool

SEEDS_AT_ONCE = 4  # that a worker process takes at once


@dataclass(frozen=True, slots=True)
class SeededWorld:
    """A world's runs: `run_seed` runs a seed and returns its breaches, `digest_of` its digest.

    `module` is the world's command, `seeds` how many are run where no number is given, in so many
    `processes`, None for one for each core.
    """

    module: str
    description: str | None
    seeds: int
    run_seed: Callable[[int], list[str]]
    digest_of: Callable[[int], str]
    processes: int | None = None

    def main(self) -> int:
        """Run the command line; returns 0 where no seed breaks an invariant, 1 where one does."""
        arguments = self._arguments()
        if arguments.digest:
            numbers = range(arguments.seeds) if arguments.seed is None else [arguments.seed]
            for seed, value in digests(self.digest_of, numbers, arguments.processes).items():
                print(seed, value)
            return 0
        if arguments.seed is not None:
            return self._run_one(arguments.seed)
        return self._run_all(arguments.seeds, arguments.processes)

    def _arguments(self) -> argparse.Namespace:
        parser = argparse.ArgumentParser(
            description=self.description, formatter_class=argparse.RawDescriptionHelpFormatter
        )
        parser.add_argument("--seeds", type=int, default=self.seeds, help="run seeds from 0 on")
        parser.add_argument("--seed", type=int, help="run one seed")
        parser.add_argument("--digest", action="store_true", help="print a digest of each run")
        parser.add_argument("--processes", type=int, default=self.processes)
        return parser.parse_args()

    def _run_one(self, seed: int) -> int:
        """Run one seed and print its breaches."""
        breaches = self.run_seed(seed)
        print("\n".join(breaches) or "no rule broken")
        return 1 if breaches else 0

    def _run_all(self, seeds: int, processes: int | None) -> int:
        """Run seeds from 0 on; each that fails is printed as a command that runs it again."""
        with Pool(processes) as pool:
            results = pool.map(self.run_seed, range(seeds), chunksize=SEEDS_AT_ONCE)
        failed = [seed for seed, breaches in enumerate(results) if breaches]
        for seed in failed:
            print(f"python -m {self.module} --seed {seed}  # {results[seed][0]}")
        print(f"{seeds} seeds, {len(failed)} broke a rule")
        return 1 if failed else 0


def digests(
    digest_of: Callable[[int], str], seeds: Sequence[int], processes: int | None
) -> dict[int, str]:
    """The digest of each seed's run, computed in so many processes (None: one for each core)."""
    with Pool(processes) as pool:
        return dict(zip(seeds, pool.map(digest_of, seeds, chunksize=1), strict=True))
