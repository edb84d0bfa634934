"""Decide whether the policy in force is known to be the newest.

An instance asks for a grant with a number; the control replicas pass the
question through their log and answer with the version that was the newest
when it came out. The lease counts from the moment of the question, so
neither the way of the answer nor a pause in between can stretch it.
"""

import collections

from bambooring.policy import messages


class Lease:
    """Hold one instance's right to act on its policy.

    Times are of a clock that goes on while the machine is suspended.
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
        """Return the next question.

        :param version: the version in force
        :param now_s: the time in seconds
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
        """Take a grant.

        :param grant: the answer
        :param version: the version in force now
        :returns: False if a newer version is not in force here yet
        """
        requested_s = self._request_times_s.get(grant.lease)
        if requested_s is None:
            return True
        if grant.version > version:
            return False
        self._confirmed_from_s = max(self._confirmed_from_s, requested_s)
        return True

    def get_age_s(self, now_s: float) -> float:
        """Return how old the proof is, in seconds."""
        return now_s - self._confirmed_from_s

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the policy may be acted on."""
        return self.get_age_s(now_s) < self.duration_s
