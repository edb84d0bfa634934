"""Define the limits of evacuations."""

import typing

# How long a control replica tries to commit an order. Operators resend one
# for up to 5 s, so this leaves them time to ask another replica.
ORDER_TIMEOUT_S: typing.Final = 2.0

# A call is read this long before its order is proposed. If it waited while the
# process was frozen, its caller may have given up: the end of the connection
# is then read meanwhile.
ORDER_DELAY_S: typing.Final = 0.02

# An order for one failure domain more is refused. It bounds the state where
# the failure domains of the cluster aren't known, so that any name is taken.
MAX_FAILURE_DOMAINS: typing.Final = 256
