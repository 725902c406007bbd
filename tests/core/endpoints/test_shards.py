"""No second returns more lines than the ration, and every server is found."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from fakes.bexpr import compiled
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.shards import (
    OTHER,
    Question,
    Ration,
    Rounds,
    What,
    expression,
    sorted_out,
    tail,
)


class Service:
    """A list's service that counts the lines it returns over any second."""

    def __init__(self, ids: list[str]) -> None:
        self.ids = ids
        self._rows: dict[str, list[str]] = {}
        self._of: list[str] = []
        self.bad: set[str] = set()
        self.returned: list[tuple[int, int]] = []

    def answer(self, now: int, question: Question) -> list[str]:
        if self._of is not self.ids:
            self._of, self._rows = self.ids, {}
            for u in self.ids:
                for end in {tail(u, depth) for depth in range(1, 13)}:
                    self._rows.setdefault(end, []).append(u)
        found = [u for leaf in question.leaves for u in self._rows.get(leaf, ())]
        if question.what is What.BAD:
            found = [u for u in found if u in self.bad]
        self.returned.append((now, len(found)))
        return found

    def most(self) -> int:
        """The most lines in any one second."""
        worst = total = first = 0
        for when, lines in self.returned:
            total += lines
            while self.returned[first][0] <= when - SECOND:
                total -= self.returned[first][1]
                first += 1
            worst = max(worst, total)
        return worst


def nothing(*_: object) -> None:
    pass


def play(
    service: Service,
    rounds: Rounds,
    until: int | Callable[[int], bool],
    now: int = 0,
    latency: int = 5 * MS,
    each: Callable[[int], object] = nothing,
    heard: Callable[[int, Question, list[str]], object] = nothing,
) -> int:
    """Ask until that many whole rounds have ended, or it says so; returns the time.

    `each` is called before every question, once a second at the least; `heard` with answers.
    """
    while not (until(now) if callable(until) else rounds.rounds >= until):
        each(now)
        question, wait = rounds.next(now)
        if question is None:
            now += min(wait, SECOND)
            continue
        found = service.answer(now + latency // 2, question)
        now += latency
        rounds.answered(now, question, found)
        heard(now, question, found)
    return now


def each_second(act: Callable[[int], object]) -> Callable[[int], None]:
    """Something to do once in every second that begins."""
    last = [-1]

    def each(now: int) -> None:
        if now // SECOND > last[0]:
            last[0] = now // SECOND
            act(last[0])

    return each


def named(count: int) -> list[str]:
    return [f"topup-{i}" for i in range(count)]


def hexadecimal(count: int) -> list[str]:
    random = Random(3)
    return [f"{random.getrandbits(128):032x}" for _ in range(count)]


@pytest.mark.parametrize("ids", [named, hexadecimal])
@pytest.mark.parametrize("count", [0, 1, 270, 2000, 5000])
def test_no_second_returns_more_than_the_ration(ids: object, count: int) -> None:
    service = Service(ids(count))  # type: ignore[operator]
    rounds = Rounds(Ration(190))
    play(service, rounds, 3)
    assert rounds.size() == count
    assert service.most() <= 190 and rounds.surprises <= 2


def test_a_small_share_holds_as_well() -> None:
    """Nine lines a second, as one of 21 readers has."""
    service = Service(named(270))
    rounds = Rounds(Ration(9))
    now = play(service, rounds, 2)
    assert service.most() <= 9 and rounds.size() == 270
    assert now < 400 * SECOND


def test_a_thin_share_of_a_long_list_is_split_further() -> None:
    """Two characters hold more than a second allows: the trie grows where it has to."""
    count = 2000
    service = Service(named(count))
    rounds = Rounds(Ration(9))
    now = play(service, rounds, 1, latency=MS)
    asked = len(service.returned)
    play(service, rounds, 2, now, latency=MS)
    assert rounds.size() == count
    # One answer of a whole first leaf at the most, and paid for by as long a wait.
    assert service.most() <= 9 + count // 100 and rounds.surprises <= 2
    first_round = now // SECOND
    assert first_round < 3 * count // 9, (first_round, asked)
    # From then on by the fewest questions that fit, none of them a surprise.
    service.returned.clear()
    before = rounds.surprises
    play(service, rounds, 3, 10 * now, latency=MS)
    assert service.most() <= 9 and rounds.surprises == before
    assert len(service.returned) < count


def test_a_trie_that_has_become_thin_is_joined() -> None:
    service = Service(named(2000))
    rounds = Rounds(Ration(19))
    now = play(service, rounds, 2, latency=MS)
    many = len(rounds._leaves)
    service.ids = named(50)
    play(service, rounds, 5, now, latency=MS)
    assert rounds.size() == 50 and len(rounds._leaves) < many // 3


def test_keys_alike_to_the_end_are_read_together_and_said() -> None:
    service = Service([f"host{i}:8080" for i in range(30)])
    rounds = Rounds(Ration(190))
    play(service, rounds, 2)
    assert rounds.size() == 30 and service.most() <= 190
    few = Rounds(Ration(9))
    play(service, few, 2)
    assert few.size() == 30 and few.surprises >= 2


def test_growth_between_rounds_stays_within_the_ration() -> None:
    service = Service(hexadecimal(300))
    rounds = Rounds(Ration(190))
    now = play(service, rounds, 2)
    service.ids = hexadecimal(300) + [u[:-1] + u[-1] for u in hexadecimal(560)[300:]]
    now = play(service, rounds, 4, now)
    assert rounds.size() == 560
    assert service.most() <= 190


def test_a_wake_costs_little_while_few_are_bad_and_stays_bounded_when_all_are() -> None:
    service = Service(named(5000))
    rounds = Rounds(Ration(190))
    now = play(service, rounds, 1)
    service.bad = {"topup-7", "topup-4999"}
    rounds.woken()
    began = now
    found: set[str] = set()
    now = play(service, rounds, lambda _: found == service.bad, now,
               heard=lambda _, q, got: found.update(got if q.what is What.BAD else ()))  # fmt: skip
    assert now - began < 3 * SECOND  # the whole list would take 26
    service.bad = set(service.ids)
    began = now
    play(service, rounds, lambda n: n > began + 20 * SECOND, now, each=lambda _: rounds.woken())
    assert service.most() <= 190


def test_a_failed_question_is_paid_for_and_asked_again() -> None:
    rounds = Rounds(Ration(5))
    question, _ = rounds.next(0)
    assert question is not None and question.bound == 4
    rounds.failed(MS, question)
    again, wait = rounds.next(MS)
    assert again is None and wait == SECOND
    again, _ = rounds.next(MS + SECOND)
    assert again == question


def test_a_reader_without_a_line_is_refused() -> None:
    with pytest.raises(ValueError, match="at least one line"):
        Ration(0)


def test_a_question_reads_as_consuls_filter() -> None:
    ids = [*named(200), *hexadecimal(50), "odd name!", "x", "Upper-AB", "1é"]
    rows: list[dict[str, Any]] = [
        {"Service": {"ID": u}, "Checks": [{"Status": "passing"}]} for u in ids
    ]
    rounds = Rounds(Ration(190))
    seen: Counter[str] = Counter()
    now = 0
    while rounds.rounds < 1:
        question, wait = rounds.next(now)
        now += wait
        if question is None:
            continue
        test = compiled(expression(question))
        found = [row["Service"]["ID"] for row in rows if test(row)]
        assert set(found) == {u for x in sorted_out(question.leaves, ids).values() for u in x}
        seen.update(found)
        rounds.answered(now, question, found)
    assert seen == Counter(ids)
    bad = Question(What.BAD, (OTHER, "a1"), 4)
    rows[0]["Checks"].append({"Status": "critical"})
    test = compiled(expression(bad))
    assert [r["Service"]["ID"] for r in rows if test(r)] == []
    test = compiled(expression(Question(What.BAD, ("-0", "-1"), 4)))
    assert [r["Service"]["ID"] for r in rows if test(r)] == ["topup-0"]


def test_wakes_without_an_end_do_not_keep_a_round_from_ending() -> None:
    """With all of them bad a sweep takes longer than it is until the next wake."""
    service = Service(named(1000))
    rounds = Rounds(Ration(190))
    now = play(service, rounds, 1)
    service.bad = set(service.ids)
    wake = each_second(lambda _: rounds.woken())
    play(service, rounds, lambda at: rounds.rounds >= 2 or at > 600 * SECOND, now, each=wake)
    assert rounds.rounds == 2 and service.most() <= 190
