"""hibiscusstep.platform.headers: header fields of targets' answers."""

import pytest
from multidict import CIMultiDict

from hibiscusstep.platform.headers import MAX_RETRY_AFTER_S, PlatformDialect


def _read(status=200, **fields):
    headers = CIMultiDict({name.replace("_", "-"): v for name, v in fields.items()})
    return PlatformDialect().read_response(status, headers)


class TestLeaving:
    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_any_status_may_carry_it(self, status):
        assert _read(status, Server_Leaving="1").leaving

    @pytest.mark.parametrize("value", ["", "0", "yes", "11"])
    def test_other_values_are_ignored(self, value):
        assert not _read(Server_Leaving=value).leaving
        assert not _read().leaving

    def test_a_misdirected_answer_is_ignored(self):
        assert not _read(421, Server_Leaving="1").leaving


class TestRetryAfter:
    def test_a_503_answer_gives_the_seconds(self):
        assert _read(503, Retry_After="2.5").retry_after == 2.5

    @pytest.mark.parametrize("status", [200, 429, 500])
    def test_other_statuses_are_ignored(self, status):
        assert _read(status, Retry_After="2.5").retry_after == 0.0

    @pytest.mark.parametrize("value", ["", "-3", "0", "nan", "soon", "Fri, 4 Dec 2026"])
    def test_a_malformed_value_counts_as_absent(self, value):
        assert _read(503, Retry_After=value).retry_after == 0.0

    @pytest.mark.parametrize("value", ["1e9", "inf"])
    def test_the_time_is_bounded(self, value):
        assert _read(503, Retry_After=value).retry_after == MAX_RETRY_AFTER_S
