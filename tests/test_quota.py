"""Quotas hold for the sum over all instances (hibiscusstep.forwarding.quota)."""

import pytest

from hibiscusstep.forwarding.bounds import Bounds
from hibiscusstep.forwarding.model import CustomerRule, Quota
from hibiscusstep.forwarding.quota import QuotaLimiter
from hibiscusstep.forwarding.quota_request import QuotaRequest
from hibiscusstep.forwarding.window import SlidingWindow
from hibiscusstep.mailbox import Tick
from hibiscusstep.membership.mesh import ViewChanged
from hibiscusstep.membership.view import Member, View
from hibiscusstep.peer import Received

BOUNDS = Bounds(quota_window=8.0, quota_overage=0.1, quota_slack=50.0)
RULE = CustomerRule("c", frozenset(), None, Quota(100.0, 100.0, 10))
MAX_WINDOW_TOKENS = (100 * 8 + 100) * 1.1 + 50


class _FakeLinks:
    def __init__(self):
        self.sent = []

    def tell(self, send):
        self.sent.append(send)


def _member(n):
    return Member(f"i{n}", f"inc{n}", "z", "d", f"a{n}", "o", 1, True, False)


class Fleet:
    """Connected quota limiters on a simulated clock."""

    def __init__(self, count, monkeypatch, loop):
        self.now = 1000.0
        monkeypatch.setattr(loop, "time", lambda: self.now)
        self.links = [_FakeLinks() for _ in range(count)]
        self.limiters = [
            QuotaLimiter(f"inc{n}", f"a{n}", link, BOUNDS)
            for n, link in enumerate(self.links)
        ]
        self.set_view(range(count), 0)

    def restart(self):
        """Replace all limiters with new ones, as after a power failure."""
        self.limiters = [
            QuotaLimiter(f"new{n}", f"a{n}", link, BOUNDS)
            for n, link in enumerate(self.links)
        ]

    def set_view(self, alive, unreachable):
        members = {f"i{n}": _member(n) for n in alive}
        self.view_changed = ViewChanged(View(members, unreachable))

    async def start(self):
        for limiter in self.limiters:
            await limiter.handle(self.view_changed)

    async def exchange(self, isolated=()):
        for n, (limiter, link) in enumerate(
            zip(self.limiters, self.links, strict=True)
        ):
            await limiter.handle(Tick())
            for send in link.sent:
                to = int(send.address[1:])
                if (n in isolated) == (to in isolated):
                    await self.limiters[to].handle(Received(f"a{n}", send.message))
            link.sent.clear()


@pytest.fixture
async def fleet(monkeypatch):
    import asyncio

    fleet = Fleet(3, monkeypatch, asyncio.get_running_loop())
    await fleet.start()
    fleet.now += 20.0
    return fleet


class TestWindow:
    def test_amounts_expire_after_the_span(self):
        window = SlidingWindow(8.0)
        window.add(5, 0.0)
        window.add(7, 4.0)
        assert window.total(7.9) == 12
        assert window.total(8.0) == 7


class TestQuotaLimiter:
    async def test_all_instances_together_stay_within_the_limit(self, fleet):
        used_at = []
        for _step in range(100):
            for n in range(3):
                while reservation := fleet.limiters[n].reserve(RULE, 10):
                    reservation.commit()
                    used_at.append((fleet.now, 10))
                    if len(used_at) % 4 == 0:
                        break
            fleet.now += 0.2
            await fleet.exchange()
        for at, _ in used_at:
            used = sum(t for when, t in used_at if at <= when < at + 8.0)
            assert used <= MAX_WINDOW_TOKENS
        assert sum(t for _, t in used_at) >= 100 * 19

    async def test_below_the_quota_nothing_is_refused(self, fleet):
        for _step in range(200):
            fleet.limiters[_step % 3].reserve(RULE, 15).commit()
            fleet.now += 0.2
            await fleet.exchange()

    async def test_sides_of_a_partition_together_stay_within_the_limit(self, fleet):
        fleet.set_view([0], 2)
        await fleet.limiters[0].handle(fleet.view_changed)
        fleet.set_view([1, 2], 1)
        for n in (1, 2):
            await fleet.limiters[n].handle(fleet.view_changed)
        used = 0
        for _step in range(40):
            for n in range(3):
                while reservation := fleet.limiters[n].reserve(RULE, 10):
                    reservation.commit()
                    used += 10
            await fleet.exchange(isolated=(0,))
            fleet.now += 0.2
        assert used <= MAX_WINDOW_TOKENS

    async def test_full_restart_after_the_quota_was_used(self, fleet):
        async def use_quota(seconds):
            used = 0
            for _step in range(round(seconds * 5)):
                for limiter in fleet.limiters:
                    for _ in range(5):
                        if reservation := limiter.reserve(RULE, 10):
                            reservation.commit()
                            used += 10
                await fleet.exchange()
                fleet.now += 0.2
            return used

        before = await use_quota(8.0)
        fleet.restart()
        await fleet.start()
        fleet.now += 1.0
        after = await use_quota(1.0)
        still_counts = before * (1 - 2.0 / 8.0)
        assert still_counts + after <= MAX_WINDOW_TOKENS

    async def test_released_tokens_may_be_used_again(self, fleet):
        limiter = fleet.limiters[0]
        reservations = []
        while reservation := limiter.reserve(RULE, 10):
            reservations.append(reservation)
        reservations[0].release()
        reservations[0].commit()
        assert limiter.reserve(RULE, 10)
        assert not limiter.reserve(RULE, 10)

    async def test_waiting_requests_reserve_no_tokens(self, fleet):
        """Most waiting requests of a burst are refused for load and use no tokens."""
        limiter = fleet.limiters[0]
        waiting = [QuotaRequest(limiter, RULE, 10, f"r{n}") for n in range(500)]
        assert all(quota_request.fits() for quota_request in waiting)
        taken = [quota_request for quota_request in waiting if quota_request.reserve()]
        assert 0 < len(taken) < 500
        assert not QuotaRequest(limiter, RULE, 10, "late").reserve()
        taken[0].release()
        assert QuotaRequest(limiter, RULE, 10, "late").reserve()

    async def test_rate_of_zero_means_no_limit(self, fleet):
        rule = CustomerRule("free", frozenset(), None, Quota(0.0, 0.0, 10))
        assert all(fleet.limiters[0].reserve(rule, 10**6) for _ in range(50))

    async def test_new_instance_receives_earlier_usage(self, fleet):
        for _tick in range(6):
            while reservation := fleet.limiters[0].reserve(RULE, 10):
                reservation.commit()
            await fleet.exchange()
        fleet.limiters[1] = QuotaLimiter("new", "a1", fleet.links[1], BOUNDS)
        await fleet.limiters[1].handle(fleet.view_changed)
        for _tick in range(10):
            fleet.now += 0.2
            await fleet.exchange()
        assert not fleet.limiters[1].reserve(RULE, 200)


class TestRelays:
    """Two relays, 0 and 1, with two followers each: 2 and 4 of 0, 3 and 5 of 1."""

    @pytest.fixture
    async def fleet(self, monkeypatch):
        import asyncio

        fleet = Fleet(6, monkeypatch, asyncio.get_running_loop())
        relays = {f"i{n}": _member(n) for n in (0, 1)}
        for n, limiter in enumerate(fleet.limiters):
            if n < 2:
                followers = {f"i{m}": _member(m) for m in (n + 2, n + 4)}
                view = View(relays, followers=followers, other_instances=2)
            else:
                view = View(
                    {**relays, f"i{n}": _member(n)},
                    parent=f"a{n % 2}",
                    other_instances=3,
                )
            await limiter.handle(ViewChanged(view))
        fleet.now += 20.0
        return fleet

    async def _settle(self, fleet):
        for _ in range(4):
            fleet.now += 0.2
            await fleet.exchange()

    async def test_each_instance_counts_all_usage_once(self, fleet):
        for n, limiter in enumerate(fleet.limiters):
            limiter.reserve(RULE, 10 + n).commit()
        await self._settle(fleet)
        fleet.now += 1.1
        assert {k.used("c", fleet.now) for k in fleet.limiters} == {75}

    async def test_usage_expires_after_the_window(self, fleet):
        for limiter in fleet.limiters:
            limiter.reserve(RULE, 10).commit()
        await self._settle(fleet)
        fleet.now += 8.1
        assert {k.used("c", fleet.now) for k in fleet.limiters} == {0}

    async def test_all_instances_together_stay_within_the_limit(self, fleet):
        used_at = []
        for _step in range(100):
            for limiter in fleet.limiters:
                if reservation := limiter.reserve(RULE, 10):
                    reservation.commit()
                    used_at.append((fleet.now, 10))
            fleet.now += 0.2
            await fleet.exchange()
        for at, _ in used_at:
            used = sum(t for when, t in used_at if at <= when < at + 8.0)
            assert used <= MAX_WINDOW_TOKENS
        assert sum(t for _, t in used_at) >= 100 * 19

    @pytest.mark.parametrize("before", range(0, 500, 50))
    @pytest.mark.parametrize("each", [2, 4, 6])
    async def test_burst_stays_within_the_limit(self, fleet, before, each):
        used_at = []
        if before:
            fleet.limiters[3].reserve(RULE, before).commit()
            used_at.append((fleet.now, before))
        await self._settle(fleet)
        fleet.now += 1.1
        for _step in range(40):
            for limiter in fleet.limiters:
                for _ in range(each):
                    if reservation := limiter.reserve(RULE, 10):
                        reservation.commit()
                        used_at.append((fleet.now, 10))
            fleet.now += 0.2
            await fleet.exchange()
        for at, _ in used_at:
            assert (
                sum(t for when, t in used_at if at <= when < at + 8.0)
                <= MAX_WINDOW_TOKENS
            )

    async def test_new_relay_sends_the_whole_window(self, fleet):
        for n, limiter in enumerate(fleet.limiters):
            limiter.reserve(RULE, 10 + n).commit()
        await self._settle(fleet)
        moved_follower = fleet.limiters[2]
        relays = {f"i{n}": _member(n) for n in (0, 1)}
        view = View({**relays, "i2": _member(2)}, parent="a1", other_instances=3)
        await moved_follower.handle(ViewChanged(view))
        followers = {f"i{m}": _member(m) for m in (2, 3, 5)}
        await fleet.limiters[1].handle(ViewChanged(View(relays, followers=followers)))
        await self._settle(fleet)
        fleet.now += 1.1
        assert moved_follower.used("c", fleet.now) >= 75
