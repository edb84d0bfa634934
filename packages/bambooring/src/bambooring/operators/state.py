"""Store the reports of entry instances for the status of the cluster."""

import dataclasses
import typing

from bambooring.configuration import messages as configuration
from bambooring.operators import const
from bambooring.operators import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class _ReceivedReport:
    """Report with the reactor time at which it was received, in seconds."""

    report: configuration.Report
    received_s: float


class InstanceReports:
    """Newest report of each entry instance, kept by a control replica."""

    __slots__ = ('_received_reports',)

    def __init__(self) -> None:
        self._received_reports: dict[str, _ReceivedReport] = {}

    def add(self, report: configuration.Report, now: float) -> None:
        """Store a report in place of the earlier one of its instance.

        :param report: the report
        :param now: the current time in seconds
        """
        self._received_reports[report.instance] = _ReceivedReport(
            report=report, received_s=now
        )

    def get_fresh(self, now: float) -> list[configuration.Report]:
        """Return the reports that are not too old, sorted by instance name.

        The others are removed.

        :param now: the current time in seconds
        """
        self._received_reports = {
            name: received
            for name, received in self._received_reports.items()
            if received.received_s + const.REPORT_MAX_AGE_S > now
        }
        return [
            self._received_reports[name].report
            for name in sorted(self._received_reports)
        ]


def merge_targets(
    replies: list[messages.StatusReply],
) -> list[dict[str, typing.Any]]:
    """Merge the states of targets that several entry instances reported.

    Of several states of a target, one from an instance that is linked to it
    is preferred.

    :param replies: the replies of the instances
    :returns: one mapping of field names to values for each target, sorted by
        name
    """
    merged: dict[str, messages.TargetStatus] = {}
    for reply in replies:
        for status in reply.targets:
            merged_status = merged.get(status.target)
            if merged_status is None or (
                status.is_linked and not merged_status.is_linked
            ):
                merged[status.target] = status
    return [dataclasses.asdict(merged[name]) for name in sorted(merged)]
