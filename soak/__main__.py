"""Soak the real processes by seed.

The same seed draws the same faults; what the processes make of them also
depends on the machine, so a seed that failed is kept and played again.
"""

import json
import pathlib
import random
import shutil
import sys
import tempfile
import time

import click

from soak import faults as faults_module
from soak import operator as operator_module
from soak import site as site_module

DEFAULT_SECONDS = 15.0
# All is mended; within this time requests are served again.
RECOVERY_S = 12.0
_CALM_S = 2.0
_SERVED_SHARE = 0.9


def soak(
    seed: int, seconds: float, folder: pathlib.Path, **sizes: int
) -> list[str]:
    """Play one seed.

    :param seed: the faults' seed
    :param seconds: how long faults are drawn
    :param folder: where settings, data and logs go
    :param sizes: other numbers of entries, targets or callers
    :returns: a line for each promise that was broken
    """
    with site_module.Site(folder, seed, **sizes) as site:
        faults = faults_module.Faults(site, random.Random(seed))
        operator = operator_module.Operator(site, random.Random(seed + 1))
        with operator:
            site.wait_ready()
            site.begin_callers()
            time.sleep(_CALM_S)
            faults.run(seconds)
        broken = _wait_recovery(site)
        operator.read_finally()
        site.end_callers()
        broken += list(site.ledger.check())
        requests = len(site.ledger.sent)
        served = sum(one.status == 200 for one in site.ledger.sent.values())
    (folder / 'story').write_text('\n'.join(faults.story) + '\n')
    (folder / 'events').write_text('\n'.join(site.events) + '\n')
    report = {
        'seed': seed,
        'faults': len(faults.story),
        'requests': requests,
        'served': served,
        'runs': len(site.ledger.runs),
        'versions': len(site.ledger.published),
        'reads': len(site.ledger.reads),
        'broken': broken[:20],
    }
    click.echo(json.dumps(report))
    return broken


def _wait_recovery(site: site_module.Site) -> list[str]:
    """Watch the last requests; most must be served."""
    end_s = time.monotonic() + RECOVERY_S
    while time.monotonic() < end_s:
        time.sleep(0.1)
        site.watch()
    began_s = end_s - _CALM_S
    last = [
        one
        for one in site.ledger.sent.values()
        if one.sent_s > began_s and one.ended_s
    ]
    served = sum(one.status == 200 for one in last)
    if served >= _SERVED_SHARE * len(last) and last:
        return []
    return [f'not recovered: {served} of {len(last)} served']


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--count', default=1, show_default=True, help='Seeds to play.')
@click.option('--seconds', default=DEFAULT_SECONDS, show_default=True)
@click.option('--entries', default=3, show_default=True)
@click.option('--targets', default=6, show_default=True)
@click.option('--callers', default=10, show_default=True)
@click.option('--keep', type=click.Path(path_type=pathlib.Path), default=None)
def main(
    seed: int,
    count: int,
    seconds: float,
    entries: int,
    targets: int,
    callers: int,
    keep: pathlib.Path | None,
) -> None:
    """Play seeds one after the other; keep the logs of those that fail."""
    failed = False
    for number in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        broken = soak(
            number,
            seconds,
            folder,
            entries=entries,
            targets=targets,
            callers=callers,
        )
        if broken and keep is not None:
            shutil.copytree(folder, keep / str(number), dirs_exist_ok=True)
        failed = failed or bool(broken)
        shutil.rmtree(folder)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
