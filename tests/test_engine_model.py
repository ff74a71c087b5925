"""hibiscusstep.routing.engine_model: what engines take, learnt from their answers."""

import random

import pytest

from hibiscusstep.routing.engine_model import AnswerLengths, EngineModel


class TestEngineModel:
    def test_begins_with_the_first_guess(self):
        model = EngineModel()
        assert model.prefill_seconds(48_200) == pytest.approx(1.0)
        assert model.answer_seconds(0, 0) == pytest.approx(0.014)

    @pytest.mark.parametrize(
        ("first", "rate"), [(0.036, 68_200), (0.1, 8_000), (0.005, 400_000)]
    )
    def test_learns_another_engine_within_some_answers(self, first, rate):
        model = EngineModel()
        draw = random.Random(7)
        for _ in range(40):
            prompt = draw.choice((600, 1800, 6600, 20_000))
            model.observe(prompt, first + prompt / rate)
        assert model.prefill_seconds(6600) == pytest.approx(6600 / rate, rel=0.2)
        whole = first + 6600 / rate
        assert model.answer_seconds(6600, 0) == pytest.approx(whole, rel=0.2)

    def test_a_single_odd_answer_moves_little(self):
        model = EngineModel()
        for _ in range(30):
            model.observe(600, 0.026)
            model.observe(6600, 0.15)
        before = model.prefill_seconds(6600)
        model.observe(6600, 1.5)
        assert model.prefill_seconds(6600) < 1.6 * before

    def test_prompts_all_alike_leave_it_usable(self):
        model = EngineModel()
        for _ in range(500):
            model.observe(1000, 0.05)
        assert model.first + model.prefill_seconds(1000) == pytest.approx(
            0.05, rel=0.05
        )


class TestAnswerLengths:
    def test_four_of_five_answers_are_shorter(self):
        draw = random.Random(5)
        lengths = AnswerLengths()
        for _ in range(400):
            lengths.observe(300, round(300 * draw.lognormvariate(0.0, 0.8)))
        bound = lengths.upper_bound(300)
        shorter = sum(300 * draw.lognormvariate(0.0, 0.8) < bound for _ in range(1000))
        assert 700 < shorter < 900

    def test_exact_hints_are_believed(self):
        lengths = AnswerLengths()
        for _ in range(200):
            lengths.observe(50, 50)
        assert lengths.upper_bound(300) == pytest.approx(300, rel=0.05)
