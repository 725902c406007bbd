"""A fault put into the product's own code, which the seeds of a world must find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Mutant:
    """A method of the product and the faulty one in its place."""

    owner: type
    method: str
    faulty: Callable[..., Any]

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Have the fault in the product's code for the length of a `with` block."""
        original = getattr(self.owner, self.method)
        setattr(self.owner, self.method, self.faulty)
        try:
            yield
        finally:
            setattr(self.owner, self.method, original)
