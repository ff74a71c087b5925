import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.admission import RequestHead, admit, authenticate, find_route
from hibiscusstep.configuration.folder import read_folder
from hibiscusstep.configuration.models import load_configuration
from hibiscusstep.problem import Outcome, Problem

CONF = Path(__file__).parent.parent / "examples" / "hanul" / "conf.d"
CONFIGURATION = load_configuration(read_folder(CONF))[0]
CHAT = RequestHead("POST", "/v1/chat/completions", "Bearer demo-guro-animation")


def admit_request(head, body):
    """Authenticate, route and admit a request as the HTTP server does."""
    customer = authenticate(head, CONFIGURATION)
    route = find_route(head, CONFIGURATION)
    return admit("e0", customer, route, head, body, CONFIGURATION)


def chat(prompt, **fields):
    messages = [{"role": "user", "content": prompt}]
    return json.dumps({"model": "assistant", "messages": messages, **fields}).encode()


class TestValidation:
    @given(st.binary(max_size=300))
    def test_any_body_is_admitted_or_refused_as_not_run(self, body):
        try:
            admit_request(CHAT, body)
        except Problem as problem:
            assert problem.outcome is Outcome.NOT_RUN and problem.status < 500

    @given(
        st.fixed_dictionaries(
            {},
            optional={
                "model": st.sampled_from(["assistant", "breakdown", "", 7]),
                "messages": st.lists(
                    st.dictionaries(st.sampled_from(["role", "content"]), st.text())
                ),
                "stream": st.booleans() | st.none(),
                "max_tokens": st.integers() | st.floats(),
            },
        ),
        st.text(max_size=300),
        st.text(max_size=20),
    )
    def test_any_json_and_headers(self, body, key, tier):
        head = RequestHead("POST", CHAT.path, CHAT.authorization, key=key, tier=tier)
        try:
            admit_request(head, json.dumps(body).encode())
        except Problem as problem:
            assert problem.outcome is Outcome.NOT_RUN and problem.status < 500

    @given(st.text(max_size=60), st.text(max_size=40))
    def test_any_path_and_key(self, path, authorization):
        head = RequestHead("GET", path, authorization)
        with pytest.raises(Problem):
            admit_request(head, b"")


class TestEstimates:
    def test_equal_prefixes_have_equal_hashes(self):
        scene = "scene " * 2000
        one = admit_request(CHAT, chat(scene + "why?"))
        two = admit_request(CHAT, chat(scene + "how many shots?"))
        assert one.prompt_tokens == 12004 // 4
        shared = sum(a == b for a, b in zip(one.prefixes, two.prefixes, strict=True))
        assert shared == len(one.prefixes) == 5

    def test_digest_depends_on_the_customer(self):
        other = RequestHead("POST", CHAT.path, "Bearer demo-mapo-pictures", key="k")
        own = RequestHead("POST", CHAT.path, CHAT.authorization, key="k")
        assert (
            admit_request(own, chat("x")).key_digest
            != admit_request(other, chat("x")).key_digest
        )

    def test_longest_path_wins(self):
        head = RequestHead("POST", "/farm/billing/shot", CHAT.authorization, key="k")
        assert admit_request(head, b"{}").route_name == "farm-bill"
