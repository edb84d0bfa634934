"""Define how long permits are valid, and the limits of their messages."""

import typing

# A permit is valid for this long from when its request was sent, by the
# sender's clock. An entry instance asks only for requests that wait, so a
# permit is used as soon as it arrives: a few milliseconds later, or a hundred
# if the instance gets little processor time.
PERMIT_TTL_S: typing.Final = 0.25

# The longest time that a request may take from the check of its permit, just
# before the first byte is written, to its arrival at the target. It also
# covers differences in the rates of the machines' clocks.
TRANSIT_ALLOWANCE_S: typing.Final = 0.1

# The limit holds for any window of this length.
LIMIT_WINDOW_S: typing.Final = 1.0

# A permit that is granted at one moment may bring a request to the target at
# any time until TTL and transit are over. So all that arrives in any second
# was granted in that second or in so much time before it, and the grants of
# any such time are kept under the limit.
GRANT_WINDOW_S: typing.Final = (
    PERMIT_TTL_S + TRANSIT_ALLOWANCE_S + LIMIT_WINDOW_S
)

# No more than this share of the limit is granted within this time, so that a
# target with few slots doesn't get the requests of a second at once. It leaves
# room for a third more than what the window allows on average.
BURST_WINDOW_S: typing.Final = 0.2
BURST_SHARE: typing.Final = 0.2

# The highest number of permits asked for at once: one entry instance must not
# take all permits of a target, and those unused are lost.
MAX_WANTED: typing.Final = 4

# The highest limit that an agent applies; bounds its memory.
MAX_LIMIT: typing.Final = 10_000
