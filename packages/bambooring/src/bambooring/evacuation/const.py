"""Define the limits of evacuations."""

import typing

# How long a control replica tries to commit an order. Operators resend one
# for up to 5 s, so this leaves them time to ask another replica.
ORDER_TIMEOUT_S: typing.Final = 2.0

# An order for one failure domain more is refused. It bounds the state where
# the failure domains of the cluster aren't known, so that any name is taken.
MAX_FAILURE_DOMAINS: typing.Final = 256
