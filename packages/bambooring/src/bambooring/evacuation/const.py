"""Define the limits of evacuations."""

import typing

# How long a control replica tries to commit an order. Operators resend one
# for up to 5 s, so this leaves them time to ask another replica.
ORDER_TIMEOUT_S: typing.Final = 2.0

# An order is proposed this long after its call was read. If the call waited
# while the process was frozen, its caller may have given up; the end of the
# connection is read within this time, and the order is dropped.
ORDER_DELAY_S: typing.Final = 0.02

# The highest number of evacuated failure domains; an order for another one is
# refused. It bounds the state where the failure domains of the cluster aren't
# known and any name is accepted.
MAX_FAILURE_DOMAINS: typing.Final = 256
