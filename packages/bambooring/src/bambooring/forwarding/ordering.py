"""Order the requests of services whose routes differ in priority.

Such services have too little capacity for all at times, and the order decides
whose requests get it. See docs/design/order-of-service.md.
"""

import dataclasses
import zlib

from bambooring.forwarding import arrivals
from bambooring.forwarding import const
from bambooring.forwarding import messages
from bambooring.policy import messages as policy

# The sort key of a queued request, in ascending order: whether the caller has
# no part of the response yet, whether its account, route and subject all get
# their share, its urgency, whether its size gets its share of the route,
# whether it will be late, whether it is new rather than back after a refusal,
# and its deadline.
OrderedKey = tuple[bool, bool, int, bool, bool, bool, float]


@dataclasses.dataclass(slots=True, kw_only=True)
class Standing:
    """What the order of service depends on, of one request.

    ``urgency`` is from 0, the most urgent, to 9. ``first_received_s`` is when
    the caller's first attempt was received, as far as it can be told, and
    ``is_returning`` means that this isn't the first. ``objective_s`` is the
    time to the first byte that the caller expects. ``size_key`` is the key
    under which requests of its route and size are counted, empty for usual
    sizes. ``subject_key`` is that of its subject, empty without one.
    ``is_underserved`` and ``is_size_underserved`` say whether its keys are
    starved, as checked last; they hold until ``shares_valid_until_s``.
    """

    urgency: int
    is_returning: bool
    first_received_s: float
    objective_s: float
    deadline_s: float
    route_key: str
    account_key: str
    size_key: str = ''
    subject_key: str = ''
    is_underserved: bool = False
    is_size_underserved: bool = False
    shares_valid_until_s: float = 0.0

    @property
    def on_time_until_s(self) -> float:
        """Return until when it must be sent for a first byte in time."""
        return (
            self.first_received_s
            + self.objective_s * const.LATE_OBJECTIVE_SHARE
        )

    def is_late(self, now_s: float) -> bool:
        """Return whether the first byte can't be in time any more."""
        return now_s > self.on_time_until_s


def compute_ordered_key(
    standing: Standing,
    *,
    is_response_started: bool,
    now_s: float,
) -> OrderedKey:
    """Return the sort key of a queued request; the lowest is served first.

    Within a class those that can be on time go before late ones, also before
    late ones that come back after a refusal: if these went first, under a
    lasting overload each refusal would make another late response, until none
    was on time.

    :param standing: the request
    :param is_response_started: whether its caller has a part of the response
    :param now_s: the current time in seconds
    """
    return (
        not is_response_started,
        not standing.is_underserved,
        standing.urgency,
        not standing.is_size_underserved,
        standing.is_late(now_s),
        not standing.is_returning,
        standing.deadline_s,
    )


def compute_backlog_key(standing: Standing) -> OrderedKey:
    """Return the sort key of a late request after an outage.

    It goes after all that can be on time, and starved or not it makes no
    other one late.

    :param standing: the request
    """
    return (
        True,
        True,
        standing.urgency + const.BACKLOG_URGENCY_STEP,
        not standing.is_size_underserved,
        True,
        not standing.is_returning,
        standing.deadline_s,
    )


def make_standing(
    *,
    urgency: int,
    request: messages.CallerRequest,
    route: policy.Route,
    account: policy.Account | None,
    traits: arrivals.Traits,
    first_received_s: float,
    deadline_s: float,
) -> Standing:
    """Return the standing of a request that was admitted."""
    standing = Standing(
        urgency=urgency,
        is_returning=traits.is_returning,
        first_received_s=first_received_s,
        objective_s=route.first_byte_objective_s,
        deadline_s=deadline_s,
        route_key=f'route {route.name}',
        account_key=f'account {account.name if account else ""}',
    )
    if traits.size:
        standing.size_key = f'size {traits.size} {route.name}'
    if request.prompt_parts:
        subject = zlib.crc32(request.prompt_parts[-1].encode())
        standing.subject_key = f'subject {subject % const.SUBJECT_BUCKETS}'
    return standing
