"""Tests that the documentation lists every option and every policy."""

from pathlib import Path

import pytest

from hibiscusstep.configuration.options import SECTIONS, option_rows
from hibiscusstep.policies import POLICIES

DOCS = Path(__file__).parent.parent / "docs"


class TestDocumentation:
    @pytest.mark.parametrize("section", SECTIONS)
    def test_configuration_page_lists_every_option(self, section):
        page = (DOCS / "CONFIGURATION.md").read_text()
        assert f"### {section}\n" in page
        missing = [row for row in option_rows(SECTIONS[section]) if row not in page]
        assert not missing, "paste the output of: hibiscusstep options"

    def test_policy_page_lists_every_policy(self):
        page = (DOCS / "POLICY.md").read_text()
        assert all(f"`{name}`" in page for name in POLICIES.primary_names)
