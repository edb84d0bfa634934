"""Define the interface between this package and a platform's protocol."""

import dataclasses
import typing

from bambooring.forwarding import messages
from bambooring.policy import messages as policy
from bambooring.targets import messages as targets
from bambooring_core.http1 import messages as http1


@dataclasses.dataclass(slots=True, kw_only=True)
class PublishPolicyCall:
    """A call that publishes a policy.

    ``digest`` is the same for the same content, whatever its layout.
    ``document`` is the policy as the operator sent it.
    """

    policy: policy.Policy
    digest: bytes
    document: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class ReadPolicyCall:
    """A call that reads the newest policy."""


@dataclasses.dataclass(slots=True, kw_only=True)
class EvacuateCall:
    """A call that evacuates a failure domain."""

    failure_domain: str


@dataclasses.dataclass(slots=True, kw_only=True)
class WithdrawEvacuationCall:
    """A call that withdraws the evacuation of a failure domain."""

    failure_domain: str


@dataclasses.dataclass(slots=True, kw_only=True)
class AnnounceTargetCall:
    """A call by which a target announces itself."""

    target: targets.Target


@dataclasses.dataclass(slots=True, kw_only=True)
class WithdrawTargetCall:
    """A call that removes a target.

    ``born_ms`` is the start of the target's run in milliseconds since the
    epoch, 0 if the call doesn't say.
    """

    target_id: str
    born_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class UnknownCall:
    """A call to a path or with a method that is not served."""


ControlCall = (
    PublishPolicyCall
    | ReadPolicyCall
    | EvacuateCall
    | WithdrawEvacuationCall
    | AnnounceTargetCall
    | WithdrawTargetCall
    | UnknownCall
)


class Dialect(typing.Protocol):
    """Translate between a platform's protocol and this product's types.

    The methods have no side effects. ``event_fields`` are the names of fields
    that events of streams have besides those of the standard.
    """

    event_fields: tuple[bytes, ...]

    def read_request(self, request: http1.Request) -> messages.CallerRequest:
        """Decode a caller's request.

        :raises RequestMalformedError: if it can't be decoded
        """

    def write_attempt_headers(
        self,
        request: messages.CallerRequest,
        metadata: messages.AttemptMetadata,
    ) -> http1.Headers:
        """Return the headers of the request that a target receives."""

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""

    def read_policy(self, document: bytes) -> policy.Policy:
        """Decode and validate a policy document.

        :raises PolicyError: if it is not valid
        """

    def read_control_call(self, request: http1.Request) -> ControlCall:
        """Decode a call that an operator or a target makes.

        :raises PolicyError: if a policy is not valid
        :raises AnnouncementError: if an announcement can't be decoded
        """
