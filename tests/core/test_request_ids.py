"""Which request ids are in use, and until when."""

from __future__ import annotations

from loadbalancer.core.request_ids import RequestIdTable

NOW = 1_000


def test_an_id_is_released_only_by_the_request_that_uses_it() -> None:
    """The end of an earlier request took away the id of a later one, so a third could pass."""
    table = RequestIdTable()
    table.begin(b"a", 1)
    table.begin(b"a", 2)
    table.release(b"a", 2)
    assert table.in_use(b"a", NOW)
    table.release(b"a", 1)
    assert not table.in_use(b"a", NOW)


def test_a_retained_id_is_in_use_until_its_time() -> None:
    table = RequestIdTable()
    table.begin(b"a", 1)
    table.release(b"a", 1, NOW + 5)
    assert table.in_use(b"a", NOW + 4)
    assert not table.in_use(b"a", NOW + 5)
    table.expire(NOW + 4)
    assert table.own() == [b"a"]
    table.expire(NOW + 5)
    assert table.own() == []


def test_an_id_that_is_free_again_may_be_used_while_its_time_is_not_swept() -> None:
    table = RequestIdTable()
    table.begin(b"a", 1)
    table.release(b"a", 1, NOW)
    table.begin(b"a", 2)
    table.expire(NOW)
    assert table.in_use(b"a", NOW)
    table.release(b"a", 2)
    assert not table.in_use(b"a", NOW)


def test_the_ids_of_another_process_are_in_use_for_a_time_after_its_end() -> None:
    """It may have been killed while backends executed its requests."""
    table = RequestIdTable()
    table.replace_other_process([b"a", b"b"])
    table.replace_other_process([b"b"])
    assert not table.in_use(b"a", NOW)
    assert table.in_use(b"b", NOW)
    assert table.own() == []
    table.end_other_process(NOW + 5)
    assert table.in_use(b"b", NOW)
    assert not table.in_use(b"b", NOW + 5)


def test_changes_are_reported_as_they_happen_and_applied_by_the_other_process() -> None:
    table, other = RequestIdTable(), RequestIdTable()
    table.on_begin = lambda request_id: other.update_other_process([request_id], [])
    table.on_release = lambda request_id: other.update_other_process([], [request_id])
    table.begin(b"a", 1)
    assert other.in_use(b"a", NOW)
    table.release(b"a", 1, NOW + 5)
    assert other.in_use(b"a", NOW)
    table.expire(NOW + 5)
    assert not other.in_use(b"a", NOW)
    table.begin(b"b", 2)
    table.release(b"b", 2)
    assert not other.in_use(b"b", NOW)


def test_an_id_that_is_used_again_is_not_reported_as_free_by_its_earlier_time() -> None:
    """The other process of an upgrade would admit a request with an id that is in use here."""
    table = RequestIdTable()
    released: list[bytes] = []
    table.on_release = released.append
    table.begin(b"a", 1)
    table.release(b"a", 1, NOW)
    table.begin(b"a", 2)
    table.expire(NOW)
    assert released == []
    table.release(b"a", 2)
    assert released == [b"a"]
