import pytest

from hibiscusstep.load.compare import PolicyRun, summarize
from hibiscusstep.load.drive import Result, State
from hibiscusstep.load.mix import Mix, arrivals
from hibiscusstep.load.plot import plot_summary
from hibiscusstep.load.report import make_report

MIX = Mix.model_validate(
    {
        "deployment": "hanul",
        "classes": {
            "short": {"share": 3, "customers": ["a", "b"], "model": "m", "deadline": 1},
            "scene": {
                "share": 1,
                "customers": ["a"],
                "model": "m",
                "prompt_tokens": [1000, 2000],
                "prefixes": 2,
            },
        },
        "phases": [{"seconds": 10, "rate": 20}, {"seconds": 5, "rate": 0}],
    }
)


class TestRecording:
    def test_a_recording_is_deterministic_for_a_seed(self):
        assert arrivals(MIX, 1) == arrivals(MIX, 1) != arrivals(MIX, 2)

    def test_rates_and_shares_are_kept(self):
        made = arrivals(MIX, 1, rate=2.0)
        assert 320 < len(made) < 480 and made[-1].at < 10
        short = sum(arrival.kind == "short" for arrival in made)
        assert 0.65 < short / len(made) < 0.85

    def test_scenes_share_prefixes_and_a_salt_changes_them(self):
        scenes = [a for a in arrivals(MIX, 1) if a.kind == "scene"]
        assert len({scene.prompt[:200] for scene in scenes}) == 2
        salted = [a for a in arrivals(MIX, 1, salt="x") if a.kind == "scene"]
        prefixes_seen = {scene.prompt[:200] for scene in scenes + salted}
        assert len(prefixes_seen) == 4


def result(arrival, state=State.COMPLETE, first=0.5, **fields):
    return Result(arrival, state, first=first, gaps=[0.1], **fields)


class TestReport:
    def test_late_refused_and_wrong_answers_are_not_useful(self):
        short = [a for a in arrivals(MIX, 1) if a.kind == "short"][:4]
        results = [
            result(short[0]),
            result(short[1], first=1.5),
            result(short[2], State.NOT_RUN, reason="overloaded"),
            result(short[3], State.WRONG),
        ]
        report = make_report(results, [])
        assert report.goodput["short"] == 0.25
        assert report.refusals == {"overloaded": 1}

    def test_wasted_prefill_is_that_of_no_delivered_answer(self):
        (one, two) = arrivals(MIX, 1)[:2]
        results = [result(one, computed=40), result(two, State.FAILED, computed=0)]
        engines = [{"prefilled": 70, "aborted_prefill": 30}, {"prefilled": 10}]
        report = make_report(results, engines)
        assert (report.prefilled, report.wasted, report.aborted) == (80, 40, 30)


class TestSummary:
    @pytest.fixture
    def runs(self):
        made = []
        for policy, shares in (("a", (1 / 3, 1 / 3)), ("b", (2 / 3, 0.9))):
            for seed, share in enumerate(shares):
                report = make_report([result(arrivals(MIX, 1)[0])], [])
                report.goodput["short"] = share
                made.append(PolicyRun(policy, seed, report, {"get": 3}, {}))
        return made

    def test_the_median_lies_within_its_spread(self, runs):
        for figures in summarize(runs).values():
            for median, least, most in figures.values():
                assert least <= median <= most

    def test_it_is_plotted(self, runs, tmp_path):
        plot_summary(summarize(runs), "title", tmp_path / "x.png")
        assert (tmp_path / "x.png").read_bytes().startswith(b"\x89PNG")
