"""hibiscusstep.platform.headers: header fields of targets' answers."""

import pytest
from multidict import CIMultiDict

from hibiscusstep.platform.headers import (
    MAX_LOGGED_FIELDS,
    MAX_RETRY_AFTER_S,
    PlatformDialect,
)


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


class TestRateLimit:
    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_any_status_may_carry_it(self, status):
        assert _read(status, Server_Limit="1.2").rate_limit == 1.2

    @pytest.mark.parametrize(
        ("value", "rate"), [("0", 0.0), ("0.0", 0.0), (" 8 ", 8.0), ("1e2", 100.0)]
    )
    def test_a_decimal_number_is_read(self, value, rate):
        assert _read(Server_Limit=value).rate_limit == rate

    @pytest.mark.parametrize(
        "value", ["", "-1", "nan", "inf", "1e999", "few", "1,2", "1_0", "0x1", "1 2"]
    )
    def test_a_malformed_value_counts_as_absent_and_is_reported(self, value):
        head = _read(Server_Limit=value)
        assert head.rate_limit is None
        assert head.malformed_rate_limit == (value or "empty")

    def test_several_values_are_malformed(self):
        headers = CIMultiDict([("Server-Limit", "1"), ("Server-Limit", "2")])
        head = PlatformDialect().read_response(200, headers)
        assert (head.rate_limit, head.malformed_rate_limit) == (None, "1,2")

    def test_a_misdirected_answer_is_ignored(self):
        assert _read(421, Server_Limit="1.2").rate_limit is None
        assert _read(421, Server_Limit="few").malformed_rate_limit == ""

    def test_without_it_there_is_none(self):
        assert (_read().rate_limit, _read().malformed_rate_limit) == (None, "")


class TestPace:
    """It is the fourth figure of X-Server-Load."""

    @pytest.mark.parametrize(
        ("load", "pace"),
        [
            ("3,1,6,100", 1.0),
            ("3,1,6,250", 2.5),
            ("3, 1, 6, 87.5 ", 0.875),
            ("3,1,6,10000", 100.0),
            ("3,1,6,250,more", 2.5),
        ],
    )
    def test_a_plausible_number_is_read(self, load, pace):
        head = _read(X_Server_Load=load)
        assert (head.running, head.waiting, head.pace) == (3, 1, pace)
        assert head.malformed_pace == ""

    @pytest.mark.parametrize("load", ["", "3", "3,1", "3,1,6"])
    def test_without_it_there_is_none(self, load):
        assert (_read(X_Server_Load=load).pace, _read().pace) == (0.0, 0.0)
        assert _read(X_Server_Load=load).malformed_pace == ""

    @pytest.mark.parametrize(
        "value",
        [
            "", "-250", "0", "0.0", "nan", "inf", "-inf", "1e999", "10001", "1e-9",
            "fast", "true", "2_5", "0x64", "1 2", "[100]", "9" * 5000,
        ],
    )  # fmt: skip
    def test_a_malformed_one_counts_as_absent_and_is_reported(self, value):
        """The other figures must still count, since standby dispatchers use them."""
        head = _read(X_Server_Load=f"3,1,6,{value}")
        assert (head.running, head.waiting, head.pace) == (3, 1, 0.0)
        assert head.malformed_pace == (value or "empty")

    @pytest.mark.parametrize("load", ["x,1,6,250", "3,,6,250", ",,,250", "a,b,c,250"])
    def test_malformed_other_figures_do_not_hide_it(self, load):
        head = _read(X_Server_Load=load)
        assert (head.running, head.waiting, head.pace) == (-1, -1, 2.5)

    def test_a_misdirected_answer_is_ignored(self):
        assert _read(421, X_Server_Load="3,1,6,250").pace == 0.0
        assert _read(421, X_Server_Load="3,1,6,few").malformed_pace == ""


class TestUnknownFields:
    def _logged(self, caplog):
        return [r.field for r in caplog.records if r.message == "target-field-unknown"]

    def test_are_logged_when_first_seen(self, caplog):
        caplog.set_level("INFO")
        dialect = PlatformDialect()
        for value in ("1", "2"):
            headers = CIMultiDict({"Server-New": value, "X-Request-Id": "r"})
            dialect.read_response(200, headers)
        assert self._logged(caplog) == ["server-new"]

    def test_known_and_general_fields_are_not(self, caplog):
        caplog.set_level("INFO")
        _read(
            Server_Limit="1", X_Response_Seal="s", Content_Type="text/plain", Date="d"
        )
        assert not self._logged(caplog)

    def test_their_number_is_bounded(self, caplog):
        caplog.set_level("INFO")
        dialect = PlatformDialect()
        for number in range(2 * MAX_LOGGED_FIELDS):
            dialect.read_response(200, CIMultiDict({f"X-New-{number}": "1"}))
        assert len(self._logged(caplog)) == MAX_LOGGED_FIELDS


class TestPromptParts:
    @pytest.mark.parametrize(
        ("field", "shared"),
        [
            ("", ()),
            ("5c1e07a2:800", ()),
            ("5c1e07a2:800,91bd3f06:410", ("5c1e07a2",)),
            ("5C1E07A2:800, 91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            ("a,b,c", ("a", "b")),
        ],
    )
    def test_all_but_the_last_are_shared(self, field, shared):
        fields = CIMultiDict({"X-Prompt-Prefix": field, "X-Model": "m"})
        head = PlatformDialect().read_request(fields)
        assert (head.prompt_parts, head.shared_parts) == (field, shared)
        assert head.model == "m"
