"""Define the limits of what an agent remembers of permits."""

import typing

# The sequence number of a sender is remembered for this long after its last
# request. A datagram that is repeated later than that costs permits, but none
# is usable twice: its sender accepts each grant once. A sender that restarts
# after its clock was set back is ignored no longer than this.
SENDER_RETENTION_S: typing.Final = 2.0
# Above the 400 entry instances that are planned for.
MAX_SENDERS: typing.Final = 1024

# How often an agent tries to open its port while another process has it.
BIND_RETRY_INTERVAL_S: typing.Final = 0.2

# The longest that a sender is told to wait in one step; it must ask again
# soon after a grant for others has expired unused.
MAX_WAIT_S: typing.Final = 1.0
