"""hibiscusstep.forwarding.state_distributor: requested configurations, sent targets."""

import asyncio

from platform_standin import configuration

from hibiscusstep.forwarding.model import DiscoveredTarget
from hibiscusstep.forwarding.state_distributor import REQUEST_DELAY_S, StateDistributor
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import ConfigurationAsk, TargetStates
from hibiscusstep.platform.documents import decode_table_spec
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


def _distributor():
    links = _Links()
    targets = {"t": DiscoveredTarget("t", "p", "a:1", "z", 4, False, 7)}
    distributor = StateDistributor("inc-own", "own", "z", links, targets, lambda: 9)
    return distributor, links


def _requests(links):
    return [to for to, message in links.sent if isinstance(message, ConfigurationAsk)]


def _target_messages(links):
    return [to for to, message in links.sent if isinstance(message, TargetStates)]


class TestConfiguration:
    async def test_the_parent_is_asked_immediately(self):
        distributor, links = _distributor()
        view = _view(_member("a", 5), _member("b", 5), parent="b")
        distributor.apply_view(view)
        await asyncio.sleep(0.01)
        assert _requests(links) == ["b"]

    async def test_a_relay_of_the_same_data_centre_is_asked_after_a_delay(self):
        distributor, links = _distributor()
        far = _member("a", 5, "elsewhere")
        distributor.apply_view(_view(far, _member("b", 5), _member("c", 4)))
        assert not _requests(links)
        await asyncio.sleep(2 * REQUEST_DELAY_S)
        assert _requests(links) == ["b"]

    async def test_a_pending_request_is_not_repeated(self):
        distributor, links = _distributor()
        distributor.apply_view(_view(_member("a", 5), _member("b", 5)))
        distributor.request_newer_table()
        distributor.request_newer_table()
        assert len(_requests(links)) == 1

    async def test_a_version_in_force_is_not_requested(self):
        distributor, links = _distributor()
        distributor.table = decode_table_spec(configuration(5))
        distributor.apply_view(_view(_member("a", 5)))
        distributor.request_newer_table()
        assert not _requests(links)


class TestTargets:
    async def test_starting_members_and_followers_get_all_targets_once(self):
        distributor, links = _distributor()
        starting = _member("b", ready=False)
        followers = {"c": _member("c")}
        view = _view(_member("a"), starting, followers=followers)
        distributor.apply_view(view)
        distributor.apply_view(view)
        assert sorted(_target_messages(links)) == ["b", "c"]
        assert all(message.revision == 9 for _to, message in links.sent)

    async def test_changes_go_to_the_neighbours(self):
        distributor, links = _distributor()
        distributor.apply_view(_view(_member("own"), _member("a"), _member("b")))
        distributor.send_changes([Change("t", None, 8)])
        assert sorted(_target_messages(links)) == ["a", "b"]
        (message, _) = (message for _to, message in links.sent)
        assert message.states[0].removed and not message.revision
