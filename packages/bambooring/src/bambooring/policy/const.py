"""Define constants of the stored policy."""

import typing

# zlib level for the documents in the log, which are highly repetitive text.
COMPRESSION_LEVEL: typing.Final = 3
