import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstep.admission import CallerHead, admit, authenticate, find_route
from hibiscusstep.configuration.folder import read_folder
from hibiscusstep.configuration.models import load_configuration
from hibiscusstep.problem import Outcome, Problem

CONF = Path(__file__).parent.parent / "examples" / "hanul" / "conf.d"
CONFIGURATION = load_configuration(read_folder(CONF))[0]
CHAT = CallerHead("POST", "/v1/chat/completions", "Bearer demo-guro-animation")


def enter(head, body):
    """Take a request as the border does."""
    customer = authenticate(head, CONFIGURATION)
    route = find_route(head, CONFIGURATION)
    return admit("e0", customer, route, head, body, CONFIGURATION)


def chat(prompt, **fields):
    messages = [{"role": "user", "content": prompt}]
    return json.dumps({"model": "assistant", "messages": messages, **fields}).encode()


class TestBorder:
    @given(st.binary(max_size=300))
    def test_any_body_is_admitted_or_refused_as_not_run(self, body):
        try:
            enter(CHAT, body)
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
        head = CallerHead("POST", CHAT.path, CHAT.authorization, key=key, tier=tier)
        try:
            enter(head, json.dumps(body).encode())
        except Problem as problem:
            assert problem.outcome is Outcome.NOT_RUN and problem.status < 500

    @given(st.text(max_size=60), st.text(max_size=40))
    def test_any_path_and_key(self, path, authorization):
        head = CallerHead("GET", path, authorization)
        with pytest.raises(Problem):
            enter(head, b"")


class TestEstimates:
    def test_a_shared_beginning_has_shared_hashes(self):
        scene = "scene " * 2000
        one = enter(CHAT, chat(scene + "why?"))
        two = enter(CHAT, chat(scene + "how many shots?"))
        assert one.prompt_tokens == 12004 // 4
        shared = sum(a == b for a, b in zip(one.prefixes, two.prefixes, strict=True))
        assert shared == len(one.prefixes) == 5

    def test_a_key_is_its_customers_own(self):
        other = CallerHead("POST", CHAT.path, "Bearer demo-mapo-pictures", key="k")
        own = CallerHead("POST", CHAT.path, CHAT.authorization, key="k")
        assert enter(own, chat("x")).digest != enter(other, chat("x")).digest

    def test_longest_path_wins(self):
        head = CallerHead("POST", "/farm/billing/shot", CHAT.authorization, key="k")
        assert enter(head, b"{}").route_name == "farm-bill"
