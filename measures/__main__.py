"""Run a measurement by name."""

import importlib
import logging
import pathlib

import click
import structlog

MEASURE_NAMES = (
    'path',
    'control',
    'skew',
    'crest',
    'blocking',
    'retries',
    'spill',
    'order',
)


@click.command()
@click.argument('name', type=click.Choice(MEASURE_NAMES))
@click.option('--seed', default=1, show_default=True)
@click.option('--scale', default=1.0, show_default=True)
@click.option('--plot', default=None, type=click.Path(path_type=pathlib.Path))
def main(
    name: str, seed: int, scale: float, plot: pathlib.Path | None
) -> None:
    """Run the measurement NAME and print tables and a line of JSON."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    module = importlib.import_module(f'measures.{name}')
    module.measure(seed=seed, scale=scale, plot=plot).print()


if __name__ == '__main__':
    main()
