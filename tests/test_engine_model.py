"""Tests of hibiscusstep.routing.engine_model: learned service times of engines."""

import random

import pytest

from hibiscusstep.routing.engine_model import AnswerLengths, EngineModel


class TestEngineModel:
    def test_starts_from_the_initial_estimate(self):
        model = EngineModel()
        assert model.prefill_seconds(48_200) == pytest.approx(1.0)
        assert model.answer_seconds(0, 0) == pytest.approx(0.014)

    @pytest.mark.parametrize(
        ("first", "rate"), [(0.036, 68_200), (0.1, 8_000), (0.005, 400_000)]
    )
    def test_converges_for_another_engine_within_a_few_answers(self, first, rate):
        model = EngineModel()
        generator = random.Random(7)
        for _ in range(40):
            prompt = generator.choice((600, 1800, 6600, 20_000))
            model.observe(prompt, first + prompt / rate)
        assert model.prefill_seconds(6600) == pytest.approx(6600 / rate, rel=0.2)
        whole = first + 6600 / rate
        assert model.answer_seconds(6600, 0) == pytest.approx(whole, rel=0.2)

    def test_a_single_outlier_has_little_effect(self):
        model = EngineModel()
        for _ in range(30):
            model.observe(600, 0.026)
            model.observe(6600, 0.15)
        before = model.prefill_seconds(6600)
        model.observe(6600, 1.5)
        assert model.prefill_seconds(6600) < 1.6 * before

    def test_equal_prompt_lengths_give_usable_estimates(self):
        model = EngineModel()
        for _ in range(500):
            model.observe(1000, 0.05)
        assert model.base_seconds + model.prefill_seconds(1000) == pytest.approx(
            0.05, rel=0.05
        )


class TestAnswerLengths:
    def test_upper_bound_exceeds_four_of_five_answers(self):
        generator = random.Random(5)
        lengths = AnswerLengths()
        for _ in range(400):
            lengths.observe(300, round(300 * generator.lognormvariate(0.0, 0.8)))
        bound = lengths.upper_bound(300)
        shorter = sum(
            300 * generator.lognormvariate(0.0, 0.8) < bound for _ in range(1000)
        )
        assert 700 < shorter < 900

    def test_upper_bound_converges_to_exact_hints(self):
        lengths = AnswerLengths()
        for _ in range(200):
            lengths.observe(50, 50)
        assert lengths.upper_bound(300) == pytest.approx(300, rel=0.05)
