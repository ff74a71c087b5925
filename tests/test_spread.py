"""hibiscusstep.forwarding.spread: who is asked for a configuration, who told what."""

import asyncio

from platform_standin import configuration

from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.spread import ASK_AFTER_S, Spread
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import ConfigurationAsk, TargetStates
from hibiscusstep.platform.documents import table_of
from hibiscusstep.store import Change


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append((send.address, send.message))


def _member(name, version=0, data_centre="z", ready=True):
    return Member(
        name, f"inc-{name}", data_centre, "r", name, "o", version, ready, False
    )


def _view(*members, **fields):
    return View({member.name: member for member in members}, **fields)


def _spread():
    links = _Links()
    targets = {"t": DiscoveredTarget("t", "p", "a:1", "z", 4, False, 7)}
    spread = Spread("inc-own", "own", "z", links, targets, lambda: 9)
    return spread, links


def _asks(links):
    return [to for to, message in links.sent if isinstance(message, ConfigurationAsk)]


def _lists(links):
    return [to for to, message in links.sent if isinstance(message, TargetStates)]


class TestConfiguration:
    async def test_the_parent_is_asked_at_once(self):
        spread, links = _spread()
        view = _view(_member("a", 5), _member("b", 5), parent="b")
        spread.take_view(view)
        await asyncio.sleep(0.01)
        assert _asks(links) == ["b"]

    async def test_a_near_relay_is_asked_once_the_store_had_its_time(self):
        spread, links = _spread()
        far = _member("a", 5, "elsewhere")
        spread.take_view(_view(far, _member("b", 5), _member("c", 4)))
        assert not _asks(links)
        await asyncio.sleep(2 * ASK_AFTER_S)
        assert _asks(links) == ["b"]

    async def test_it_is_not_asked_for_twice_in_a_row(self):
        spread, links = _spread()
        spread.take_view(_view(_member("a", 5), _member("b", 5)))
        spread.ask_for_newer_table()
        spread.ask_for_newer_table()
        assert len(_asks(links)) == 1

    async def test_nor_where_it_is_in_force(self):
        spread, links = _spread()
        spread.table = table_of(configuration(5))
        spread.take_view(_view(_member("a", 5)))
        spread.ask_for_newer_table()
        assert not _asks(links)


class TestTargets:
    async def test_who_is_not_ready_or_follows_gets_all_of_them_once(self):
        spread, links = _spread()
        starting = _member("b", ready=False)
        followers = {"c": _member("c")}
        view = _view(_member("a"), starting, followers=followers)
        spread.take_view(view)
        spread.take_view(view)
        assert sorted(_lists(links)) == ["b", "c"]
        assert all(message.revision == 9 for _to, message in links.sent)

    async def test_changes_go_to_the_neighbours(self):
        spread, links = _spread()
        spread.take_view(_view(_member("own"), _member("a"), _member("b")))
        spread.tell_changes([Change("t", None, 8)])
        assert sorted(_lists(links)) == ["a", "b"]
        (message, _) = (message for _to, message in links.sent)
        assert message.states[0].removed and not message.revision
