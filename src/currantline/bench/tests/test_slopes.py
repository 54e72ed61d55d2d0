"""Tests of the series and configurations of the capacity benchmark."""

import json

import pytest

from currantline.bench._slopes import Series, make_configuration
from currantline.configuration import build_configuration, render_configuration


class TestSeries:
    """Slope and growth of a figure over sizes."""

    @pytest.mark.parametrize("power", [0, 1, 2])
    def test_growth_is_the_exponent(self, power: int) -> None:
        """Guards against a quadratic cost that is reported as linear."""
        sizes = (10.0, 100.0, 1000.0)
        series = Series(name="", points=tuple((x, 3 * x**power) for x in sizes))
        assert series.growth == pytest.approx(power)

    def test_slope_leaves_out_the_constant_part(self) -> None:
        """Guards against a projection that multiplies the fixed cost by the size."""
        series = Series(name="", points=((1.0, 7.0), (2.0, 9.0), (10.0, 25.0)))
        assert series.slope == pytest.approx(2.0)


class TestMakeConfiguration:
    """Configurations of the capacity benchmark."""

    def test_it_is_valid_and_of_the_size_asked_for(self) -> None:
        """Guards against figures of a configuration that no instance would accept."""
        made = make_configuration(50, 260)
        document = json.loads(json.dumps(render_configuration(made)))
        assert build_configuration(document) == made
        assert sum(len(s.targets) for s in made.services.values()) == 260
