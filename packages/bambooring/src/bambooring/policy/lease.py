"""Decide whether the policy in force is known to be the newest.

An entry instance sends numbered lease requests. The control replicas pass
each request through their log and grant it with the version that was the
newest when the request was applied. The lease runs from the time at which the
request was sent, so neither a slow reply nor a pause of the process in
between can extend it.
"""

import collections

from bambooring.policy import messages


class Lease:
    """The right of one entry instance to act on its policy.

    All times are in seconds, by a clock that continues while the machine is
    suspended.
    """

    __slots__ = (
        '_request_times_s',
        '_confirmed_from_s',
        '_next_number',
        'duration_s',
    )

    def __init__(self, duration_s: float) -> None:
        self.duration_s = duration_s
        self._request_times_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._next_number = 1
        self._confirmed_from_s = float('-inf')

    def make_request(
        self, version: int, now_s: float
    ) -> messages.LeaseRequest:
        """Return the next lease request, and drop those that are too old.

        A grant of a request that is older than a lease lasts would be
        useless.

        :param version: the policy version in force
        :param now_s: the current time in seconds
        """
        self._request_times_s[self._next_number] = now_s
        self._next_number += 1
        while (
            now_s - next(iter(self._request_times_s.values()))
            > self.duration_s
        ):
            self._request_times_s.popitem(last=False)
        return messages.LeaseRequest(
            lease=self._next_number - 1, version=version
        )

    def apply_grant(self, grant: messages.LeaseGrant, version: int) -> bool:
        """Renew the lease by a grant.

        Grants of unknown or dropped requests are ignored.

        :param grant: the grant from a control replica
        :param version: the policy version in force now
        :returns: False if the lease isn't renewed because a newer version
            exists than the one in force here
        """
        requested_s = self._request_times_s.get(grant.lease)
        if requested_s is None:
            return True
        if grant.version > version:
            return False
        self._confirmed_from_s = max(self._confirmed_from_s, requested_s)
        return True

    def get_age_s(self, now_s: float) -> float:
        """Return the time since the last granted request was sent."""
        return now_s - self._confirmed_from_s

    def is_valid(self, now_s: float) -> bool:
        """Return whether the instance may act on its policy."""
        return self.get_age_s(now_s) < self.duration_s
