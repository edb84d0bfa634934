"""Collect the figures of a measurement and print them."""

import collections.abc
import dataclasses
import json
import typing

import click
import hdrh.histogram

from bambooring.operators import tables

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


class Latencies:
    """Histogram of latencies, with three significant digits.

    Latencies are recorded in whole microseconds; shorter ones count as one
    microsecond.
    """

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    def __len__(self) -> int:
        return self._histogram.get_total_count()

    def add(self, latency_s: float) -> None:
        """Record a latency in seconds."""
        self._histogram.record_value(
            max(_MIN_LATENCY_US, int(latency_s * 1e6))
        )

    def get_percentile_ms(self, percentile: float) -> float:
        """Return the latency at a percentile.

        :param percentile: from 0 to 100
        :returns: the latency in milliseconds
        """
        latency_us = self._histogram.get_value_at_percentile(percentile)
        return round(latency_us / 1000, 3)

    def make_figures(self, prefix: str) -> dict[str, float]:
        """Return the 50th, 95th and 99th percentile as named figures.

        :param prefix: start of each figure's name
        :returns: latencies in milliseconds by figure name
        """
        return {
            f'{prefix}_p{percentile}_ms': self.get_percentile_ms(percentile)
            for percentile in (50, 95, 99)
        }


@dataclasses.dataclass(slots=True, kw_only=True)
class Threshold:
    """Limit that a figure must keep, at most or at least."""

    figure: str
    at_most: float | None = None
    at_least: float | None = None

    def is_met(self, figures: dict[str, float]) -> bool:
        """Return whether the figure is within the limit."""
        value = figures[self.figure]
        if self.at_most is not None and value > self.at_most:
            return False
        return self.at_least is None or value >= self.at_least

    def format_limit(self) -> str:
        """Return the limit as text, such as ``<= 1.2``."""
        if self.at_most is not None:
            return f'<= {self.at_most}'
        return f'>= {self.at_least}'


@dataclasses.dataclass(slots=True, kw_only=True)
class Report:
    """Result of a measurement.

    ``baselines`` holds the figures of the alternatives that bambooring is
    compared with, by the name of the alternative.
    """

    name: str
    seed: int
    figures: dict[str, float]
    thresholds: list[Threshold]
    baselines: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )

    def print(self) -> None:
        """Print tables of the figures and thresholds, then a line of JSON."""
        for line in tables.render(*self._make_figure_table()):
            click.echo(line)
        for line in tables.render(
            ['FIGURE', 'VALUE', 'TARGET', ''],
            list(self._make_threshold_rows()),
        ):
            click.echo(line)
        click.echo(json.dumps(self._make_json()))

    def _make_figure_table(self) -> tuple[list[str], list[list[object]]]:
        columns = {'bambooring': self.figures} | self.baselines
        names = {
            name: None for figures in columns.values() for name in figures
        }
        rows: list[list[object]] = [
            [name, *(figures.get(name, '') for figures in columns.values())]
            for name in names
        ]
        return ['FIGURE', *columns], rows

    def _make_threshold_rows(self) -> collections.abc.Iterator[list[object]]:
        for threshold in self.thresholds:
            is_met = threshold.is_met(self.figures)
            yield [
                threshold.figure,
                self.figures[threshold.figure],
                threshold.format_limit(),
                'met' if is_met else 'NOT MET',
            ]

    def _make_json(self) -> dict[str, typing.Any]:
        return {
            'name': self.name,
            'seed': self.seed,
            'figures': self.figures,
            'baselines': self.baselines,
            'targets': {
                threshold.figure: threshold.format_limit()
                for threshold in self.thresholds
            },
            'met': all(
                threshold.is_met(self.figures) for threshold in self.thresholds
            ),
        }
