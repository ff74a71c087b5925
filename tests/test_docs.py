from pathlib import Path

import pytest

from hibiscusstep.configuration.options import SECTIONS, option_rows
from hibiscusstep.policies import POLICIES

DOCS = Path(__file__).parent.parent / "docs"


class TestPages:
    @pytest.mark.parametrize("section", SECTIONS)
    def test_every_option_is_on_the_page(self, section):
        page = (DOCS / "CONFIGURATION.md").read_text()
        assert f"### {section}\n" in page
        missing = [row for row in option_rows(SECTIONS[section]) if row not in page]
        assert not missing, "paste the output of: hibiscusstep options"

    def test_every_policy_is_on_the_page(self):
        page = (DOCS / "POLICY.md").read_text()
        assert all(f"`{name}`" in page for name in POLICIES.primary_names)
