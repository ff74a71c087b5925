"""The whole path over real processes."""

import json

import pytest
from fleet import Fleet, http

QUESTION = {"model": "assistant", "messages": [{"role": "user", "content": "why?"}]}
BREAKDOWN = {**QUESTION, "model": "breakdown", "max_tokens": 4}
KEY = {"Authorization": "Bearer demo-guro-animation"}


def ask(url, body=QUESTION, **headers):
    return http("POST", f"{url}/v1/chat/completions", body, {**KEY, **headers})


@pytest.fixture(scope="module")
def fleet():
    with Fleet("hanul", targets=2) as running:
        yield running


class TestWholePath:
    def test_plain_and_streamed_through_each_instance(self, fleet):
        for url in fleet.callers.values():
            status, body = ask(url, {**QUESTION, "max_tokens": 3})
            text = json.loads(body)["choices"][0]["message"]["content"]
            assert status == 200 and text.count(".") == 3
            status, body = ask(url, {**QUESTION, "max_tokens": 3, "stream": True})
            assert status == 200 and body.endswith(b"data: [DONE]\n\n")

    def test_a_key_runs_once_through_all_instances(self, fleet):
        answers = [
            ask(url, BREAKDOWN, **{"Idempotency-Key": "shot-1"})
            for url in fleet.callers.values()
        ]
        assert {status for status, _body in answers} == {200}
        assert len({body for _status, body in answers}) == 1

    def test_a_key_of_another_request_is_refused(self, fleet):
        url = next(iter(fleet.callers.values()))
        ask(url, BREAKDOWN, **{"Idempotency-Key": "shot-2"})
        other = {**BREAKDOWN, "max_tokens": 5}
        status, body = ask(url, other, **{"Idempotency-Key": "shot-2"})
        assert status == 422 and json.loads(body)["outcome"] == "not run"

    def test_status_and_explain(self, fleet):
        url = next(iter(fleet.callers.values()))
        name = json.loads(ask(url)[1])["id"].rpartition(".")[0]
        notes = json.loads(fleet.client("explain", name, "--json"))
        assert [note["what"] for note in notes] == ["granted", "completed"]
        status = json.loads(fleet.client("status", "--json"))
        assert len(status["members"]) == 3
        assert len({member["version"] for member in status["members"]}) == 1

    def test_each_grant_has_its_line_and_no_secret_stands_in_any(self, fleet):
        url = next(iter(fleet.callers.values()))
        name = json.loads(ask(url, **{"Idempotency-Key": "open-sesame"})[1])["id"]
        logs = "".join(fleet.log(instance) for instance in fleet.instances)
        lines = [json.loads(x) for x in logs.splitlines() if x.startswith("{")]
        (grant,) = [
            line
            for line in lines
            if line["message"] == "grant" and line["request"] in name
        ]
        wanted = {"customer", "tier", "pool", "target", "wait", "candidates"}
        assert wanted <= grant.keys()
        for secret in ("demo-guro-animation", "open-sesame", "change-me"):
            assert secret not in logs

    def test_drain_and_undrain(self, fleet):
        fleet.client("drain", "worker-0")
        url = next(iter(fleet.callers.values()))
        for _ in range(4):
            name = json.loads(ask(url, {**QUESTION, "max_tokens": 2})[1])["id"]
            notes = json.loads(
                fleet.client("explain", name.rpartition(".")[0], "--json")
            )
            assert notes[0]["fields"]["target"] == "worker-1"
        fleet.client("undrain", "worker-0")


class TestRefusals:
    @pytest.mark.parametrize(
        "body, headers, status, name",
        [
            (QUESTION, {"Authorization": "Bearer nobody"}, 401, "unauthorized"),
            ({**QUESTION, "model": "none"}, {}, 404, "no-route"),
            ({"model": "assistant"}, {}, 400, "malformed"),
            ({**QUESTION, "max_tokens": 0}, {}, 400, "malformed"),
            (BREAKDOWN, {}, 400, "key-required"),
            (QUESTION, {"Hibiscusstep-Tier": "king"}, 403, "tier-not-allowed"),
        ],
    )
    def test_name_what_to_mend(self, fleet, body, headers, status, name):
        url = next(iter(fleet.callers.values()))
        got, answer = ask(url, body, **headers)
        problem = json.loads(answer)
        assert (got, problem["type"].rpartition(":")[2]) == (status, name)
        assert problem["outcome"] == "not run"
