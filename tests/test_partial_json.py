"""hibiscusstep.platform.partial_json, also against the parser of `json`."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstep.platform.partial_json import (
    MAX_DOCUMENT_BYTES,
    MAX_LENIENT_BYTES,
    Unreadable,
    load,
    split_list,
    split_object,
)

EXAMPLES = settings(max_examples=300, derandomize=True, deadline=None)
# Characters that a splitter may confuse are frequent.
TEXT = st.text() | st.text(alphabet='"\\[]{},: \n\tab\u00e9\u2028')
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**60), 2**60)
    | st.floats(allow_nan=False, allow_infinity=False)
    | TEXT,
    lambda inner: st.lists(inner) | st.dictionaries(TEXT, inner),
    max_leaves=30,
)
STYLES = st.sampled_from(
    [
        {"separators": (",", ":")},
        {},
        {"indent": 2},
        {"separators": (" , ", " : "), "ensure_ascii": False},
    ]
)


def nested(depth):
    return b"[" * depth + b"]" * depth


# Parts that a parser refuses, or that nothing can read, whose brackets match.
ODD = [
    nested(2_000),
    nested(100_000),
    b'{"a":' * 2_000 + b"1" + b"}" * 2_000,
    b'{"a":[],"b":[[1],' * 2_000 + b"1" + b"]}" * 2_000,
    b"[ " * 5_000 + b" ]" * 5_000,
    b"9" * 5_000,
    b"-" + b"9" * 5_000,
    b"{oops}",
    b"oops",
    b"[1 2]",
    b"[1}",
    b"",
    b'{"a" 1}',
    b'"a\nb"',
    b'"\\x"',
]


class TestSplit:
    """Guards against parts that end at the wrong place."""

    @EXAMPLES
    @given(st.lists(VALUES), STYLES)
    def test_the_items_of_a_list_are_those_of_the_parser(self, values, style):
        text = json.dumps(values, **style).encode("utf-8", "surrogatepass")
        assert [json.loads(part) for part in split_list(text)] == values

    @EXAMPLES
    @given(st.dictionaries(TEXT, VALUES), STYLES)
    def test_the_members_of_an_object_are_those_of_the_parser(self, values, style):
        text = json.dumps(values, **style).encode("utf-8", "surrogatepass")
        members = {json.loads(k): json.loads(part) for k, part in split_object(text)}
        assert members == values

    @EXAMPLES
    @given(st.lists(VALUES), st.sampled_from(ODD), st.integers(0, 30), STYLES)
    def test_an_odd_item_leaves_the_others(self, values, odd, at, style):
        parts = [json.dumps(value, **style).encode() for value in values]
        at = min(at, len(parts))
        parts.insert(at, odd)
        found = split_list(b"[" + b",".join(parts) + b"]")
        if parts == [b""]:
            assert found == []
        else:
            assert found == parts

    @pytest.mark.parametrize(
        "text",
        [b"", b"[", b"]", b"[1", b"[1]]", b"[1]x", b'["]', b"[[1]", b"{}", b'"[]"'],
    )
    def test_brackets_or_quotes_that_do_not_match(self, text):
        with pytest.raises(ValueError):
            split_list(text)


class TestLoad:
    """Guards against one malformed part that makes all others unreadable."""

    @EXAMPLES
    @given(VALUES, st.integers(0, 5), STYLES)
    def test_a_sound_document_is_that_of_the_parser(self, value, levels, style):
        assert load(json.dumps(value, **style).encode(), levels) == value

    @EXAMPLES
    @given(st.dictionaries(TEXT, VALUES), st.lists(VALUES), st.sampled_from(ODD))
    def test_the_other_items_are_those_of_the_parser(self, members, items, odd):
        members.pop("Items", None)
        parts = [json.dumps(item).encode() for item in items]
        outer = json.dumps({**members, "Items": "@"}).encode()
        for at in {0, len(parts) // 2, len(parts)}:
            inner = b",".join([*parts[:at], odd, *parts[at:]])
            if not inner.strip():
                continue
            before, after = outer.rsplit(b'"@"', 1)
            found = load(before + b"[" + inner + b"]" + after, levels=2)
            assert isinstance(found["Items"].pop(at), Unreadable)
            assert found == {**members, "Items": items}

    @EXAMPLES
    @given(st.binary() | st.text('"\\[]{},:1 ').map(str.encode), st.integers(0, 5))
    def test_any_bytes_are_read_or_refused(self, text, levels):
        try:
            load(text, levels)
        except ValueError as cause:
            assert str(cause)

    def test_parts_below_the_levels_are_one(self):
        text = b'{"Spec":{"sound":1,"odd":' + nested(2_000) + b'},"Status":{"a":2}}'
        found = load(text, levels=1)
        assert found["Spec"].reason == "nested too deeply"
        assert found["Status"] == {"a": 2}
        assert load(text, levels=2)["Spec"]["sound"] == 1

    def test_bytes_that_are_not_utf8_are_replaced(self):
        assert load(b'[{"a":"\xff"},{"a":NaN,"b":"\xc3\xa9"}]', 1)[0] == {"a": "\ufffd"}

    @pytest.mark.parametrize("digits, is_read", [(400, True), (5_000, False)])
    def test_digits(self, digits, is_read):
        (found,) = load(b"[" + b"9" * digits + b"]", 1)
        assert isinstance(found, int) == is_read

    def test_members_beside_one_without_a_name(self):
        (found,) = load(b'[{"Metadata":{"Name":"a"},oops}]', 2)
        assert isinstance(found, Unreadable)
        assert found.members == {"Metadata": {"Name": "a"}}

    def test_the_last_of_members_with_one_name_holds(self):
        assert load(b'{"a":1,"b":oops,"a":2}', 1)["a"] == 2

    def test_large_parts_are_parsed_only_strictly(self):
        large = b'"' + b"a" * MAX_LENIENT_BYTES + b'"'
        sound, odd = load(b"[" + large + b",[" + large + b",NaN]]", 1)
        assert len(sound) == MAX_LENIENT_BYTES
        assert "larger" in odd.reason

    def test_large_documents_are_not_split(self):
        text = b"[NaN," + b" " * MAX_DOCUMENT_BYTES + b"1]"
        with pytest.raises(ValueError, match="larger"):
            load(text, 1)
