"""Tell the runs of targets apart."""

import typing

from bambooring.targets import messages as targets

# The id of a target and the start of its run. A new run is another target,
# also at the address or under the id of an earlier one.
Run: typing.TypeAlias = tuple[str, int]


def get_run(target: targets.Target) -> Run:
    """Return the run of a target that an announcement is of."""
    return target.id, target.born_ms
