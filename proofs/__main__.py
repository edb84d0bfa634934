"""Run proofs by name and seed."""

import importlib
import logging
import sys
import time

import click
import structlog

from proofs import world as world_module

PROOF_NAMES = (
    'replication',
    'replacements',
    'configuration',
    'bookings',
    'answers',
    'refusals',
    'leaving',
    'evacuation',
    'expert_map',
    'poison',
)


def _run_proof(name: str, seed: int, steps: int | None) -> world_module.Result:
    module = importlib.import_module(f'proofs.{name}')
    result = module.prove(seed, steps or module.DEFAULT_STEPS)
    if result.violations:
        for line in result.trace:
            click.echo(line)
    click.echo(result.render())
    return result


@click.command()
@click.argument('name', required=False)
@click.option('--list', 'is_list', is_flag=True, help='List the proofs.')
@click.option('--seed', default=1, show_default=True)
@click.option('--steps', default=None, type=int)
@click.option('--minutes', default=1.0, show_default=True)
def main(
    name: str | None,
    is_list: bool,
    seed: int,
    steps: int | None,
    minutes: float,
) -> None:
    """Run the proof NAME.

    The name `all` runs all proofs in turn for a number of minutes, each
    round with the next seed.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    if is_list:
        click.echo('\n'.join(PROOF_NAMES))
        return
    if name == 'all':
        sys.exit(_run_all(seed, steps, minutes))
    if name not in PROOF_NAMES:
        raise click.BadParameter(
            f'expected one of {", ".join(PROOF_NAMES)}, all'
        )
    sys.exit(1 if _run_proof(name, seed, steps).violations else 0)


def _run_all(seed: int, steps: int | None, minutes: float) -> int:
    deadline_s = time.monotonic() + minutes * 60
    while True:
        for name in PROOF_NAMES:
            if _run_proof(name, seed, steps).violations:
                return 1
            if time.monotonic() > deadline_s:
                return 0
        seed += 1


if __name__ == '__main__':
    main()
