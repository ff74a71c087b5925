import pytest

from hibiscusstep.configuration.folder import merge
from hibiscusstep.errors import ConfigurationError


class TestMerge:
    def test_comments_and_order_of_names(self):
        merged = merge(
            {"b.json": '{"x": {"k": 2}}', "a.json": '{/* c */ "x": {"k": 1}}'}
        )
        assert merged.data == {"x": {"k": 2}}
        assert merged.overrides == ("b.json replaces x.k of a.json",)
        assert merged.origin("x.k.deeper") == "b.json"

    @pytest.mark.parametrize(
        "text", ['{"a": 1, "a": 2}', "[1]", "{", '{"a": }', "", "{" * 5000]
    )
    def test_bad_text_names_the_file(self, text):
        with pytest.raises(ConfigurationError) as caught:
            merge({"bad.json": text})
        assert str(caught.value).startswith("bad.json: ")
