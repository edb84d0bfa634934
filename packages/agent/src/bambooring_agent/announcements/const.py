"""Define how often and to how many entry instances to announce."""

import typing

ANNOUNCE_INTERVAL_S: typing.Final = 1.0
# The entry instances that an agent keeps links to and announces to.
ENTRY_LINK_COUNT: typing.Final = 3
