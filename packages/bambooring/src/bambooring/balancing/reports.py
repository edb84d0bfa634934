"""Report this instance's load to the other entry instances."""

import collections.abc

from bambooring.balancing import knowledge
from bambooring.targets import messages as targets
from bambooring_core import bounds


def make_load_report(
    known: knowledge.Knowledge,
    *,
    sender: str,
    incarnation: int,
    sequence: int,
    waiting: collections.abc.Mapping[str, int],
    waiting_by_urgency: collections.abc.Mapping[str, list[int]],
) -> targets.Load:
    """Return the load report of this instance for the others.

    :param known: what this instance knows
    :param sender: this instance's name
    :param incarnation: the number of this instance's run
    :param sequence: the number of the report
    :param waiting: by service, how many requests wait here
    :param waiting_by_urgency: by service whose order depends on it, how
        many of them there are of each urgency
    """
    return targets.Load(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        targets=[
            targets.TargetLoad(
                target=target_id,
                running=load.running,
                tokens=bounds.clip_count(load.tokens, bounds.INTEGER_BITS),
            )
            for target_id, load in known.running.own_loads.items()
        ],
        services=[
            targets.ServiceLoad(
                service=name,
                waiting=waiting.get(name, 0),
                gap_ms=known.limits.get_gap_ms(name),
                waiting_by_urgency=waiting_by_urgency.get(name, []),
            )
            for name in waiting.keys() | known.limits.list_services()
        ],
        suspicions=known.peer_health.list_suspicions()
        if known.peer_health is not None
        else [],
    )
