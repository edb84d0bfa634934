"""Define the requests, response heads and limits of connections."""

import dataclasses

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A complete request with its body.

    ``received_s`` is the reactor's time when the head was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes | bytearray
    received_s: float

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        :param name: the header's name in lower case
        """
        return next(
            (value for key, value in self.headers if key.lower() == name),
            None,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class ResponseHead:
    """The status and the headers of a response.

    ``has_length`` is false for a body that ends with its connection.
    """

    status: int
    headers: Headers
    has_length: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Limits of a caller's requests, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
