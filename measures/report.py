"""Hold a measurement's figures and print them."""

import collections.abc
import dataclasses
import json
import typing

import click
import hdrh.histogram

from bambooring.operators import tables

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3


class Latencies:
    """Collect times and give their quantiles."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _DIGITS
        )

    def __len__(self) -> int:
        return self._histogram.get_total_count()

    def add(self, seconds: float) -> None:
        """Add one time."""
        self._histogram.record_value(max(_LOWEST_US, int(seconds * 1e6)))

    def get_ms(self, percent: float) -> float:
        """Return a quantile in milliseconds."""
        value = self._histogram.get_value_at_percentile(percent)
        return round(value / 1000, 3)

    def describe(self, prefix: str) -> dict[str, float]:
        """Return the usual quantiles by name."""
        return {
            f'{prefix}_p{percent}_ms': self.get_ms(percent)
            for percent in (50, 95, 99)
        }


@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """Hold what a figure must be."""

    figure: str
    at_most: float | None = None
    at_least: float | None = None

    def is_met(self, figures: dict[str, float]) -> bool:
        """Tell whether the figure is as it must be."""
        value = figures[self.figure]
        if self.at_most is not None and value > self.at_most:
            return False
        return self.at_least is None or value >= self.at_least

    def describe(self) -> str:
        """Return the target as text."""
        if self.at_most is not None:
            return f'<= {self.at_most}'
        return f'>= {self.at_least}'


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """Hold one measurement."""

    name: str
    seed: int
    figures: dict[str, float]
    targets: list[Target]
    baselines: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )

    def print(self) -> None:
        """Print a table, then one line of JSON."""
        for line in tables.render(*self._make_table()):
            click.echo(line)
        for line in tables.render(
            ['FIGURE', 'VALUE', 'TARGET', ''], list(self._make_targets())
        ):
            click.echo(line)
        click.echo(json.dumps(self._make_json()))

    def _make_table(self) -> tuple[list[str], list[list[object]]]:
        columns = {'bambooring': self.figures} | self.baselines
        names = {
            name: None for figures in columns.values() for name in figures
        }
        rows: list[list[object]] = [
            [name, *(figures.get(name, '') for figures in columns.values())]
            for name in names
        ]
        return ['FIGURE', *columns], rows

    def _make_targets(self) -> collections.abc.Iterator[list[object]]:
        for target in self.targets:
            is_met = target.is_met(self.figures)
            yield [
                target.figure,
                self.figures[target.figure],
                target.describe(),
                'met' if is_met else 'NOT MET',
            ]

    def _make_json(self) -> dict[str, typing.Any]:
        return {
            'name': self.name,
            'seed': self.seed,
            'figures': self.figures,
            'baselines': self.baselines,
            'targets': {
                target.figure: target.describe() for target in self.targets
            },
            'met': all(target.is_met(self.figures) for target in self.targets),
        }
