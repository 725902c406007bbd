"""One file's sources read and merged, and whoever lives on the list told of its changes."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import Members, Rules, Source, Word
from loadbalancer.sources.consul.file import ConsulError, ConsulFile, read_token, source_name
from loadbalancer.sources.consul.reader import Reader

PLATFORM = "platform"


def open_reader(
    file: ConsulFile,
    told: Callable[[str, list[Word], bool], object],
    log: Callable[[str], None],
    seed: int,
) -> Reader:
    """A reader with its token and certificates; ConsulError where they can't be used."""
    token = read_token(file.token_file) if file.token_file is not None else ""
    tls = None
    if file.ca_file is not None:
        try:
            tls = ssl.create_default_context(cafile=str(file.ca_file))
        except (OSError, ssl.SSLError) as err:
            raise ConsulError(f"{file.ca_file}: [ca-file] can't be used: {err}") from None
    return Reader(file, token, told, log, seed, tls)


def sources(file: ConsulFile) -> list[Source]:
    """Each datacentre, and the platform's list where it is one more."""
    found = [Source(source_name(dc), 1, file.fresh * SECOND) for dc in file.datacentres]
    if file.platform:
        # Below Consul, whose checks say more; but its drains are orders.
        found.append(Source(PLATFORM, 0, firm=True))
    return found


class MergedList:
    """The merged list, kept up to date by its reader and by time.

    `changed` is called when what is told on did, or was confirmed by a whole answer, and
    not before the list is complete. `drain` in nanoseconds, `alive` as in Members.
    """

    def __init__(
        self,
        file: ConsulFile,
        changed: Callable[[], None],
        log: Callable[[str], None],
        seed: int,
        drain: int = 2 * SECOND,
        alive: Callable[[str], bool | None] = lambda _uid: None,
    ) -> None:
        self.members = Members(sources(file), Rules(drain=drain), alive)
        self.reader = open_reader(file, self.told, log, seed)
        self._changed = changed
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.reader.start()

    def close(self) -> None:
        self.reader.close()
        if self._timer is not None:
            self._timer.cancel()

    def told(self, source: str, words: list[Word], whole: bool) -> bool:
        """Take a source's answer over; whether `changed` was called for it."""
        now = time.monotonic_ns()
        news = self.members.told(now, source, words, whole) or whole
        return self._tell(now, news)

    def _tell(self, now: int, news: bool) -> bool:
        due = self.members.due(now)
        if due and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later((due - now) / SECOND, self._settle)
        if news and self.members.complete():
            self._changed()
            return True
        return False

    def _settle(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        self._tell(now, self.members.settle(now))
