"""hibiscusstep.forwarding.announcement: what targets say of themselves in responses."""

from collections.abc import Callable
from dataclasses import replace

from hibiscusstep.forwarding.dialect import TargetResponseHead
from hibiscusstep.forwarding.model import DiscoveredTarget, RateLimit
from hibiscusstep.log import decision

__all__ = ["AnnouncementReader"]

# A limit may be computed anew for each response. A raise by less than this share is
# ignored, since each change is told to all instances.
MIN_RAISE = 0.05
# Malformed values that are remembered, so that each is logged once.
MAX_MALFORMED = 1000
MAX_LOGGED_CHARACTERS = 80


class AnnouncementReader:
    """Reads from responses that a target is leaving, and its limits.

    Parameters
    ----------
    targets : dict of str to DiscoveredTarget
        All known targets by name; updated by its owner.
    on_announced : callable of DiscoveredTarget
        Receives a target with what it announced, if that is not known yet.
    """

    def __init__(
        self,
        targets: dict[str, DiscoveredTarget],
        on_announced: Callable[[DiscoveredTarget], None],
    ) -> None:
        self._targets = targets
        self._on_announced = on_announced
        # Kind of field, target and value.
        self._malformed: set[tuple[str, str, str]] = set()

    def read(
        self, target: DiscoveredTarget, head: TargetResponseHead, *, is_own: bool
    ) -> None:
        """Read the head of a response.

        Parameters
        ----------
        target : DiscoveredTarget
            The target as known when the request was sent.
        head : TargetResponseHead
            Parsed head of the response.
        is_own : bool
            Whether it responds to that request, not to an earlier one on the same
            connection.
        """
        if head.malformed_rate_limit:
            self._log_malformed(
                "rate-limit-malformed", target, head, head.malformed_rate_limit
            )
        if head.malformed_rejection_limit:
            self._log_malformed(
                "rejection-limit-malformed",
                target,
                head,
                head.malformed_rejection_limit,
            )
        if head.malformed_pace:
            self._log_malformed("pace-malformed", target, head, head.malformed_pace)
        before = target.rate_limit if is_own else RateLimit()
        rejections_before = target.rejection_limit if is_own else RateLimit()
        has_handled = head.sealed and not head.not_run
        rate_limit = _limit_after(
            before, head.rate_limit, has_handled and not head.malformed_rate_limit
        )
        rejection_limit = _limit_after(
            rejections_before,
            head.rejection_limit,
            has_handled and not head.malformed_rejection_limit,
        )
        is_changed = (
            rate_limit is not before or rejection_limit is not rejections_before
        )
        if not is_changed and not head.leaving:
            return
        announced = replace(
            target,
            leaving=target.leaving or head.leaving,
            rate_limit=rate_limit,
            rejection_limit=rejection_limit,
        )
        known = self._targets.get(target.name, target)
        if known.merge_announced(announced) is known:
            return
        decision(
            "target-announced",
            target=target.name,
            pool=target.pool,
            request=head.request,
            leaving=announced.leaving,
            rate_limit=announced.rate_limit.per_second,
            rate_limit_before=before.per_second,
            rejection_limit=announced.rejection_limit.per_second,
            rejection_limit_before=rejections_before.per_second,
        )
        self._on_announced(announced)

    def _log_malformed(
        self, event: str, target: DiscoveredTarget, head: TargetResponseHead, text: str
    ) -> None:
        """Log a malformed value once for each target."""
        value = text[:MAX_LOGGED_CHARACTERS]
        if (event, target.name, value) in self._malformed:
            return
        if len(self._malformed) >= MAX_MALFORMED:
            self._malformed.clear()
        self._malformed.add((event, target.name, value))
        decision(event, target=target.name, value=value, request=head.request)


def _limit_after(
    before: RateLimit, announced: float | None, may_end: bool
) -> RateLimit:
    """Return a limit after a response to a request sent when `before` held.

    Only a response of a target that handled the request ends a limit by naming none.
    """
    if announced is None:
        is_changed = before.per_second is not None and may_end
    elif before.per_second is None:
        is_changed = True
    else:
        raised_by = announced - before.per_second
        is_changed = raised_by < 0 or raised_by > MIN_RAISE * before.per_second
    return RateLimit(announced, before.version + 1) if is_changed else before
