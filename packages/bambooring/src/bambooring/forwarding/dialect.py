"""Define what an adapter translates between a platform and the product."""

import dataclasses
import typing

from bambooring.forwarding import messages
from bambooring.policy import messages as policy
from bambooring.targets import messages as targets
from bambooring_core.http1 import messages as http1


@dataclasses.dataclass(slots=True, kw_only=True)
class PublishPolicyCall:
    """Publish a policy; ``digest`` is the same for the same content."""

    policy: policy.Policy
    digest: bytes
    document: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadPolicyCall:
    """Read the newest policy."""


@dataclasses.dataclass(slots=True, kw_only=True)
class AnnounceTargetCall:
    """Announce a target."""

    target: targets.Target


@dataclasses.dataclass(slots=True, kw_only=True)
class WithdrawTargetCall:
    """Take a target away; ``born_ms`` is 0 where the call doesn't tell."""

    target_id: str
    born_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class UnknownCall:
    """Ask for something that is not served."""


ControlCall = (
    PublishPolicyCall
    | ReadPolicyCall
    | AnnounceTargetCall
    | WithdrawTargetCall
    | UnknownCall
)


class Dialect(typing.Protocol):
    """Translate; every method is pure."""

    def read_request(self, request: http1.Request) -> messages.CallerRequest:
        """Decode a caller's request.

        :raises RequestMalformedError: if it can't be read
        """

    def write_attempt_headers(
        self,
        request: messages.CallerRequest,
        metadata: messages.AttemptMetadata,
    ) -> http1.Headers:
        """Return the headers of the request to a target."""

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""

    def read_policy(self, document: bytes) -> policy.Policy:
        """Decode and check a policy's document.

        :raises PolicyError: if it is not valid
        """

    def read_control_call(self, request: http1.Request) -> ControlCall:
        """Decode a call of an operator or a target.

        :raises PolicyError: if a policy is not valid
        :raises AnnouncementError: if an announcement can't be read
        """
