import pytest

from hibiscusstep.configuration.folder import merge
from hibiscusstep.errors import ConfigurationError


class TestMerge:
    def test_comments_are_allowed_and_later_files_win(self):
        merged = merge(
            {"b.json": '{"x": {"k": 2}}', "a.json": '{/* c */ "x": {"k": 1}}'}
        )
        assert merged.data == {"x": {"k": 2}}
        assert merged.overrides == ("b.json replaces x.k of a.json",)
        assert merged.origin("x.k.deeper") == "b.json"

    @pytest.mark.parametrize(
        "text", ['{"a": 1, "a": 2}', "[1]", "{", '{"a": }', "", "{" * 5000]
    )
    def test_an_error_names_the_invalid_file(self, text):
        with pytest.raises(ConfigurationError) as error_info:
            merge({"bad.json": text})
        assert str(error_info.value).startswith("bad.json: ")
