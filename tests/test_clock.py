"""Tests of hibiscusstep.clock: detection of suspensions."""

from hibiscusstep import clock
from hibiscusstep.clock import PauseDetector, SuspensionDetector, elapsed


class TestElapsed:
    def test_does_not_decrease(self):
        assert elapsed() <= elapsed()


class TestSuspensionDetector:
    async def test_reports_each_suspension_once(self, monkeypatch):
        now = {"elapsed": 100.0, "steady": 7.0}
        monkeypatch.setattr(clock, "elapsed", lambda: now["elapsed"])
        monkeypatch.setattr(clock, "_steady", lambda: now["steady"])
        watch = SuspensionDetector()
        now["elapsed"] += 0.5
        now["steady"] += 0.5
        assert watch.check() == 0.0
        now["elapsed"] += 5.5
        now["steady"] += 0.5
        assert watch.check() == 5.0
        now["elapsed"] += 0.6
        now["steady"] += 0.5
        assert watch.check() == 0.0


class TestPauseDetector:
    def test_reports_each_pause_once(self, monkeypatch):
        now = {"elapsed": 100.0}
        monkeypatch.setattr(clock, "elapsed", lambda: now["elapsed"])
        detector = PauseDetector(1.5)
        now["elapsed"] += 1.4
        assert detector.check() == 0.0
        now["elapsed"] += 2.0
        assert detector.check() == 2.0
        assert detector.check() == 0.0
