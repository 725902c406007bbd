"""How a machine that does not take part in a log's group follows it, and whom it may ask.

A learner asks one machine at a time for accepted changes after its position; one that has none
holds the question for a while. After each answer without news, and after each that does not
come, the next machine is asked, so that one that is cut off holds nobody back. A learner whose
position the log no longer reaches is sent an image in parts, and takes it whole.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import pairwise

from loadbalancer.core.assignment.model import START, Change, Row
from loadbalancer.core.replicated_log.change_log import ROW_OVERHEAD, ChangeLog, LogImage
from loadbalancer.core.replicated_log.messages import Fetch, Fetched, ImagePart, ServiceImage

MOST_PARTS = 65_536  # of one image; an answer that names more is nonsense


class Learner:
    """Asks for one region's accepted changes."""

    def __init__(self, log: ChangeLog, sources: Sequence[str], patience: int) -> None:
        """`sources` in the order in which they are asked, each for `patience` nanoseconds."""
        self.counts: Counter[str] = Counter()
        self.reported = START  # the highest epoch and revision heard of
        self._log = log
        self._sources = tuple(sources)
        self._patience = patience
        self._turn = 0
        self._serial = 0
        self._asked: Fetch | None = None
        self._until = 0  # the answer is waited for
        self._parts: list[ImagePart] = []

    def poll(self, now: int) -> tuple[str, Fetch] | None:
        """Whom to ask now, and for what."""
        if not self._sources:
            return None
        if self._asked is not None:
            if now < self._until:
                return None
            self.counts["unanswered"] += 1
            self._next_source()
        self._serial += 1
        self._until = now + self._patience
        fetch = Fetch(
            self._log.region, self._log.position, self._serial, self.reported
        )  # fmt: skip
        if self._parts:
            first = self._parts[0]
            fetch = replace(fetch, image=first.position, part=len(self._parts))
        self._asked = fetch
        return self._sources[self._turn % len(self._sources)], fetch

    def stop(self) -> None:
        """Nothing is to be asked for now; what is on its way is dropped."""
        self._asked = None
        self._parts = []

    def _next_source(self) -> None:
        self._turn += 1
        self._parts = []

    def on_fetched(self, answer: Fetched) -> tuple[Change, ...]:
        """The changes to take, in order, right after the log's position."""
        if not self._awaited(answer.serial):
            return ()
        self._parts = []
        position = self._log.position
        follows = [c for c in answer.changes if c.position.revision > position.revision]
        if not follows or follows[0].position.revision != position.revision + 1:
            self._next_source()
            return ()
        for before, after in pairwise(follows):
            if (
                after.position.revision != before.position.revision + 1
                or after.position.epoch < before.position.epoch
            ):
                self.counts["out of order"] += 1
                return ()
        return tuple(follows) if follows[0].position.epoch >= position.epoch else ()

    def on_part(self, part: ImagePart) -> LogImage | None:
        """The image, once all its parts are here and where it is later than the log."""
        if not self._awaited(part.serial):
            return None
        if not 0 < part.parts <= MOST_PARTS or part.position <= self._log.position:
            self.counts["useless images"] += 1
            self._next_source()
            return None
        if part.part == 0 or (self._parts and self._parts[0].position != part.position):
            self._parts = []
        if part.part != len(self._parts):
            self._next_source()
            return None
        self._parts.append(part)
        if len(self._parts) < part.parts:
            return None
        parts, self._parts = self._parts, []
        return _joined(parts)

    def _awaited(self, serial: int) -> bool:
        """Each question is answered once: late and doubled answers are dropped."""
        if self._asked is None or serial != self._asked.serial:
            self.counts["late answers"] += 1
            return False
        self._asked = None
        return True


def _joined(parts: Sequence[ImagePart]) -> LogImage:
    rows: dict[str, dict[str, Row]] = {}
    changed: dict[str, int] = {}
    for part in parts:
        for image in part.services:
            rows.setdefault(image.service, {}).update((row.uid, row) for row in image.rows)
            changed[image.service] = image.changed
    first = parts[0]
    return LogImage(first.position, rows, changed, first.gone, first.epochs, first.history)


@dataclass(slots=True)
class _Held:
    fetch: Fetch
    until: int


class Source:
    """Answers learners of one region's log."""

    def __init__(self, log: ChangeLog, hold: int, most_bytes: int) -> None:
        """Without news a question is held for `hold` nanoseconds; answers are of `most_bytes`."""
        self._log = log
        self._hold = hold
        self._most_bytes = most_bytes
        self._held: dict[str, _Held] = {}
        self._images: dict[str, list[ImagePart]] = {}  # by learner, while it fetches one
        self._latest: list[ImagePart] = []

    def on_fetch(self, now: int, sender: str, fetch: Fetch) -> Fetched | ImagePart | None:
        """The answer, or None where it is held. One question a sender is held."""
        answer = self._answer(sender, fetch)
        if answer is None:
            self._held[sender] = _Held(fetch, now + self._hold)
        else:
            self._held.pop(sender, None)
        return answer

    def on_news(self) -> list[tuple[str, Fetched | ImagePart]]:
        """The log has moved: answers to those who wait."""
        answers = []
        for sender, held in list(self._held.items()):
            if (answer := self._answer(sender, held.fetch)) is not None:
                del self._held[sender]
                answers.append((sender, answer))
        return answers

    def on_tick(self, now: int) -> list[tuple[str, Fetched]]:
        """Answers without news to those who have waited long enough."""
        late = [(sender, held) for sender, held in self._held.items() if held.until <= now]
        for sender, _ in late:
            del self._held[sender]
        return [(sender, self._fetched(held.fetch, ())) for sender, held in late]

    def _fetched(self, fetch: Fetch, changes: tuple[Change, ...]) -> Fetched:
        return Fetched(fetch.region, fetch.serial, self._log.position, changes)

    def _answer(self, sender: str, fetch: Fetch) -> Fetched | ImagePart | None:
        if fetch.image is not None and (part := self._next_part(sender, fetch)):
            return part
        self._images.pop(sender, None)
        if fetch.position >= self._log.position:
            return None
        changes = self._log.after(fetch.position, self._most_bytes)
        if changes is not None:
            return self._fetched(fetch, changes)
        parts = self._images[sender] = self._image()
        return replace(parts[0], serial=fetch.serial)

    def _next_part(self, sender: str, fetch: Fetch) -> ImagePart | None:
        parts = self._images.get(sender, [])
        if not 0 <= fetch.part < len(parts) or parts[0].position != fetch.image:
            return None
        part = parts[fetch.part]
        if fetch.part == len(parts) - 1:
            del self._images[sender]
        return replace(part, serial=fetch.serial)

    def _image(self) -> list[ImagePart]:
        """The log's image in parts; made once for all who ask while it does not move."""
        if not self._latest or self._latest[0].position != self._log.position:
            self._latest = image_parts(self._log, self._most_bytes)
        return self._latest


def image_parts(log: ChangeLog, most_bytes: int) -> list[ImagePart]:
    """A log's image in parts of about `most_bytes`, at least one."""
    image = log.image()
    groups: list[list[ServiceImage]] = [[]]
    free = most_bytes
    for service, rows in image.rows.items():
        piece: list[Row] = []
        for row in rows.values():
            size = len(row.uid) + len(row.body) + ROW_OVERHEAD
            if size > free and (piece or groups[-1]):
                if piece:
                    groups[-1].append(ServiceImage(service, image.changed[service], tuple(piece)))
                groups.append([])
                piece, free = [], most_bytes
            piece.append(row)
            free -= size
        groups[-1].append(ServiceImage(service, image.changed[service], tuple(piece)))
        free -= len(service) + ROW_OVERHEAD
    return [
        ImagePart(
            log.region, 0, image.position, number, len(groups), tuple(group), image.gone,
            image.epochs, image.history,
        )
        for number, group in enumerate(groups)
    ]  # fmt: skip
