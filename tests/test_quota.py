"""hibiscusstep.forwarding.quota: the sum over all instances."""

import pytest

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule, Quota
from hibiscusstep.forwarding.quota import QuotaKeeper
from hibiscusstep.forwarding.quota_claim import QuotaClaim
from hibiscusstep.forwarding.window import Window
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received

BOUNDS = Bounds(quota_window=8.0, quota_overage=0.1, quota_slack=50.0)
RULE = CustomerRule("c", frozenset(), None, Quota(100.0, 100.0, 10))
MOST = (100 * 8 + 100) * 1.1 + 50


class _Links:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


def _member(n):
    return Member(f"i{n}", f"inc{n}", "z", "d", f"a{n}", "o", 1, True, False)


class Fleet:
    """Keepers that hear each other, on a clock of the test's."""

    def __init__(self, count, monkeypatch, loop):
        self.now = 1000.0
        monkeypatch.setattr(loop, "time", lambda: self.now)
        self.links = [_Links() for _ in range(count)]
        self.keepers = [
            QuotaKeeper(f"inc{n}", f"a{n}", link, BOUNDS)
            for n, link in enumerate(self.links)
        ]
        self.view(range(count), 0)

    def restart(self):
        """Make all keepers anew, as after a loss of power."""
        self.keepers = [
            QuotaKeeper(f"new{n}", f"a{n}", link, BOUNDS)
            for n, link in enumerate(self.links)
        ]

    def view(self, alive, silent):
        members = {f"i{n}": _member(n) for n in alive}
        self.changed = ViewChanged(View(members, silent))

    async def start(self):
        for keeper in self.keepers:
            await keeper.handle(self.changed)

    async def tell(self, cut=()):
        for n, (keeper, link) in enumerate(zip(self.keepers, self.links, strict=True)):
            await keeper.handle(Tick())
            for send in link.sent:
                to = int(send.address[1:])
                if (n in cut) == (to in cut):
                    await self.keepers[to].handle(Received(f"a{n}", send.message))
            link.sent.clear()


@pytest.fixture
async def fleet(monkeypatch):
    import asyncio

    fleet = Fleet(3, monkeypatch, asyncio.get_running_loop())
    await fleet.start()
    fleet.now += 20.0
    return fleet


class TestWindow:
    def test_what_is_older_than_the_span_does_not_count(self):
        window = Window(8.0)
        window.add(5, 0.0)
        window.add(7, 4.0)
        assert window.total(7.9) == 12
        assert window.total(8.0) == 7


class TestQuotaKeeper:
    async def test_all_instances_together_stay_within(self, fleet):
        history = []
        for _step in range(100):
            for n in range(3):
                while ticket := fleet.keepers[n].admit(RULE, 10):
                    ticket.use()
                    history.append((fleet.now, 10))
                    if len(history) % 4 == 0:
                        break
            fleet.now += 0.2
            await fleet.tell()
        for at, _ in history:
            used = sum(t for when, t in history if at <= when < at + 8.0)
            assert used <= MOST
        assert sum(t for _, t in history) >= 100 * 19

    async def test_below_the_quota_nothing_is_refused(self, fleet):
        for _step in range(200):
            fleet.keepers[_step % 3].admit(RULE, 15).use()
            fleet.now += 0.2
            await fleet.tell()

    async def test_parts_of_a_cut_stay_within_together(self, fleet):
        fleet.view([0], 2)
        await fleet.keepers[0].handle(fleet.changed)
        fleet.view([1, 2], 1)
        for n in (1, 2):
            await fleet.keepers[n].handle(fleet.changed)
        used = 0
        for _step in range(40):
            for n in range(3):
                while ticket := fleet.keepers[n].admit(RULE, 10):
                    ticket.use()
                    used += 10
            await fleet.tell(cut=(0,))
            fleet.now += 0.2
        assert used <= MOST

    async def test_all_restarted_after_the_quota_was_used(self, fleet):
        async def use(seconds):
            used = 0
            for _step in range(round(seconds * 5)):
                for keeper in fleet.keepers:
                    for _ in range(5):
                        if ticket := keeper.admit(RULE, 10):
                            ticket.use()
                            used += 10
                await fleet.tell()
                fleet.now += 0.2
            return used

        before = await use(8.0)
        fleet.restart()
        await fleet.start()
        fleet.now += 1.0
        after = await use(1.0)
        still_counts = before * (1 - 2.0 / 8.0)
        assert still_counts + after <= MOST

    async def test_what_was_given_back_may_be_used_again(self, fleet):
        keeper = fleet.keepers[0]
        tickets = []
        while ticket := keeper.admit(RULE, 10):
            tickets.append(ticket)
        tickets[0].release()
        tickets[0].use()
        assert keeper.admit(RULE, 10)
        assert not keeper.admit(RULE, 10)

    async def test_what_waits_for_a_target_takes_nothing_from_others(self, fleet):
        """In a burst most of what waits is refused for load, and never used."""
        keeper = fleet.keepers[0]
        waiting = [QuotaClaim(keeper, RULE, 10, f"r{n}") for n in range(500)]
        assert all(claim.fits() for claim in waiting)
        taken = [claim for claim in waiting if claim.take()]
        assert 0 < len(taken) < 500
        assert not QuotaClaim(keeper, RULE, 10, "late").take()
        taken[0].release()
        assert QuotaClaim(keeper, RULE, 10, "late").take()

    async def test_no_rate_is_no_limit(self, fleet):
        rule = CustomerRule("free", frozenset(), None, Quota(0.0, 0.0, 10))
        assert all(fleet.keepers[0].admit(rule, 10**6) for _ in range(50))

    async def test_an_instance_that_starts_hears_what_was_used(self, fleet):
        for _tick in range(6):
            while ticket := fleet.keepers[0].admit(RULE, 10):
                ticket.use()
            await fleet.tell()
        fleet.keepers[1] = QuotaKeeper("new", "a1", fleet.links[1], BOUNDS)
        await fleet.keepers[1].handle(fleet.changed)
        for _tick in range(10):
            fleet.now += 0.2
            await fleet.tell()
        assert not fleet.keepers[1].admit(RULE, 200)


class TestRelays:
    """Two relays, 0 and 1, with two followers each: 2 and 4 of 0, 3 and 5 of 1."""

    @pytest.fixture
    async def fleet(self, monkeypatch):
        import asyncio

        fleet = Fleet(6, monkeypatch, asyncio.get_running_loop())
        relays = {f"i{n}": _member(n) for n in (0, 1)}
        for n, keeper in enumerate(fleet.keepers):
            if n < 2:
                followers = {f"i{m}": _member(m) for m in (n + 2, n + 4)}
                view = View(relays, followers=followers, other_instances=2)
            else:
                view = View(
                    {**relays, f"i{n}": _member(n)},
                    parent=f"a{n % 2}",
                    other_instances=3,
                )
            await keeper.handle(ViewChanged(view))
        fleet.now += 20.0
        return fleet

    async def _settle(self, fleet):
        for _ in range(4):
            fleet.now += 0.2
            await fleet.tell()

    async def test_each_hears_what_all_others_used_once(self, fleet):
        for n, keeper in enumerate(fleet.keepers):
            keeper.admit(RULE, 10 + n).use()
        await self._settle(fleet)
        fleet.now += 1.1
        assert {k.used("c", fleet.now) for k in fleet.keepers} == {75}

    async def test_it_is_forgotten_after_the_window(self, fleet):
        for keeper in fleet.keepers:
            keeper.admit(RULE, 10).use()
        await self._settle(fleet)
        fleet.now += 8.1
        assert {k.used("c", fleet.now) for k in fleet.keepers} == {0}

    async def test_all_instances_together_stay_within(self, fleet):
        history = []
        for _step in range(100):
            for keeper in fleet.keepers:
                if ticket := keeper.admit(RULE, 10):
                    ticket.use()
                    history.append((fleet.now, 10))
            fleet.now += 0.2
            await fleet.tell()
        for at, _ in history:
            used = sum(t for when, t in history if at <= when < at + 8.0)
            assert used <= MOST
        assert sum(t for _, t in history) >= 100 * 19

    @pytest.mark.parametrize("before", range(0, 500, 50))
    @pytest.mark.parametrize("each", [2, 4, 6])
    async def test_nor_do_they_at_the_onset_of_a_burst(self, fleet, before, each):
        history = []
        if before:
            fleet.keepers[3].admit(RULE, before).use()
            history.append((fleet.now, before))
        await self._settle(fleet)
        fleet.now += 1.1
        for _step in range(40):
            for keeper in fleet.keepers:
                for _ in range(each):
                    if ticket := keeper.admit(RULE, 10):
                        ticket.use()
                        history.append((fleet.now, 10))
            fleet.now += 0.2
            await fleet.tell()
        for at, _ in history:
            assert sum(t for when, t in history if at <= when < at + 8.0) <= MOST

    async def test_a_new_parent_tells_the_window_anew(self, fleet):
        for n, keeper in enumerate(fleet.keepers):
            keeper.admit(RULE, 10 + n).use()
        await self._settle(fleet)
        moved = fleet.keepers[2]
        relays = {f"i{n}": _member(n) for n in (0, 1)}
        view = View({**relays, "i2": _member(2)}, parent="a1", other_instances=3)
        await moved.handle(ViewChanged(view))
        followers = {f"i{m}": _member(m) for m in (2, 3, 5)}
        await fleet.keepers[1].handle(ViewChanged(View(relays, followers=followers)))
        await self._settle(fleet)
        fleet.now += 1.1
        assert moved.used("c", fleet.now) >= 75
