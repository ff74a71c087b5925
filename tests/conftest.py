"""Shared by all tests: fixed hypothesis seeds, the processes of a deployment."""

import sys
from pathlib import Path

from hypothesis import settings

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("ci")
