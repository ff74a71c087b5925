"""End-to-end tests over real processes."""

import json

import pytest
from fleet import Fleet, http

CHAT_REQUEST = {"model": "assistant", "messages": [{"role": "user", "content": "why?"}]}
KEYED_CHAT_REQUEST = {**CHAT_REQUEST, "model": "breakdown", "max_tokens": 4}
AUTH_HEADERS = {"Authorization": "Bearer demo-guro-animation"}


def post_chat(url, body=CHAT_REQUEST, **headers):
    return http("POST", f"{url}/v1/chat/completions", body, {**AUTH_HEADERS, **headers})


@pytest.fixture(scope="module")
def fleet():
    with Fleet("hanul", targets=2) as running:
        yield running


class TestEndToEnd:
    def test_plain_and_streamed_through_each_instance(self, fleet):
        for url in fleet.callers.values():
            status, body = post_chat(url, {**CHAT_REQUEST, "max_tokens": 3})
            text = json.loads(body)["choices"][0]["message"]["content"]
            assert status == 200 and text.count(".") == 3
            status, body = post_chat(
                url, {**CHAT_REQUEST, "max_tokens": 3, "stream": True}
            )
            assert status == 200 and body.endswith(b"data: [DONE]\n\n")

    def test_a_key_runs_once_through_all_instances(self, fleet):
        replies = [
            post_chat(url, KEYED_CHAT_REQUEST, **{"Idempotency-Key": "shot-1"})
            for url in fleet.callers.values()
        ]
        assert {status for status, _body in replies} == {200}
        assert len({body for _status, body in replies}) == 1

    def test_a_key_used_with_another_request_is_refused(self, fleet):
        url = next(iter(fleet.callers.values()))
        post_chat(url, KEYED_CHAT_REQUEST, **{"Idempotency-Key": "shot-2"})
        other = {**KEYED_CHAT_REQUEST, "max_tokens": 5}
        status, body = post_chat(url, other, **{"Idempotency-Key": "shot-2"})
        assert status == 422 and json.loads(body)["outcome"] == "not run"

    def test_status_and_explain(self, fleet):
        url = next(iter(fleet.callers.values()))
        name = json.loads(post_chat(url)[1])["id"].rpartition(".")[0]
        notes = json.loads(fleet.client("explain", name, "--json"))
        assert [note["what"] for note in notes] == ["granted", "completed"]
        status = json.loads(fleet.client("status", "--json"))
        assert len(status["members"]) == 3
        assert len({member["version"] for member in status["members"]}) == 1

    def test_each_grant_is_logged_and_no_log_line_has_a_secret(self, fleet):
        url = next(iter(fleet.callers.values()))
        name = json.loads(post_chat(url, **{"Idempotency-Key": "open-sesame"})[1])["id"]
        logs = "".join(fleet.log(instance) for instance in fleet.instances)
        lines = [json.loads(x) for x in logs.splitlines() if x.startswith("{")]
        (grant,) = [
            line
            for line in lines
            if line["message"] == "grant" and line["request"] in name
        ]
        expected_fields = {"customer", "tier", "pool", "target", "wait", "candidates"}
        assert expected_fields <= grant.keys()
        for secret in ("demo-guro-animation", "open-sesame", "change-me"):
            assert secret not in logs

    def test_drain_and_undrain(self, fleet):
        fleet.client("drain", "worker-0")
        url = next(iter(fleet.callers.values()))
        for _ in range(4):
            name = json.loads(post_chat(url, {**CHAT_REQUEST, "max_tokens": 2})[1])[
                "id"
            ]
            notes = json.loads(
                fleet.client("explain", name.rpartition(".")[0], "--json")
            )
            assert notes[0]["fields"]["target"] == "worker-1"
        fleet.client("undrain", "worker-0")


class TestRefusals:
    @pytest.mark.parametrize(
        "body, headers, status, name",
        [
            (CHAT_REQUEST, {"Authorization": "Bearer nobody"}, 401, "unauthorized"),
            ({**CHAT_REQUEST, "model": "none"}, {}, 404, "no-route"),
            ({"model": "assistant"}, {}, 400, "malformed"),
            ({**CHAT_REQUEST, "max_tokens": 0}, {}, 400, "malformed"),
            (KEYED_CHAT_REQUEST, {}, 400, "key-required"),
            (CHAT_REQUEST, {"Hibiscusstep-Tier": "king"}, 403, "tier-not-allowed"),
        ],
    )
    def test_name_the_fault_in_the_request(self, fleet, body, headers, status, name):
        url = next(iter(fleet.callers.values()))
        actual_status, answer = post_chat(url, body, **headers)
        problem = json.loads(answer)
        assert (actual_status, problem["type"].rpartition(":")[2]) == (status, name)
        assert problem["outcome"] == "not run"
