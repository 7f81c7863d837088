"""Takes changes of the traffic plan, of which several may be in progress at once."""

import enum

from returns.result import Success
from snipebay_model.messages import Outcome

from snipebay_node.control_calls import logged

__all__ = ["PlanIntake"]


class Base(enum.Enum):
    """What has become of the version that a change builds on."""

    IN_PROGRESS = enum.auto()
    IN_FORCE = enum.auto()
    REPLACED = enum.auto()


def base_of_change(base_version, version):
    """Return what has become of a base version, given the version in force.

    Versions only increase, so a replaced one never comes back.
    """
    if version < base_version:
        return Base.IN_PROGRESS
    return Base.IN_FORCE if version == base_version else Base.REPLACED


class PlanIntake:
    """Applies whole plans and patches to the version that they build on.

    A patch is merged into the plan that was read, so both must be of the version that
    the patch names: the replicated state compares only that name. A change whose base
    version is still in progress waits for it for as long as a call may take. The
    outcome is ``conflict`` only if the change can't be accepted any more.

    Args:
        control_client: Client that sends commands and reads to the control instances.
    """

    def __init__(self, control_client):
        self._control_client = control_client

    def replace(self, plan, base_version, digest, respond):
        """Replace the plan if it is, or soon becomes, that of the base version.

        Args:
            plan: The new plan.
            base_version: Version that the change builds on, 0 for none.
            digest: Digest of the change as it was sent.
            respond: Function of the outcome.
        """
        client = self._control_client
        respond = _logged(respond, base_version, digest)

        def on_first_outcome(outcome):
            if outcome.code != "conflict":
                respond(outcome)
                return

            def on_reading(read_outcome, reading):
                if reading is None:
                    respond(read_outcome)
                    return
                match base_of_change(base_version, reading.version):
                    case Base.IN_PROGRESS:
                        respond(_pending(base_version, reading))
                    case Base.IN_FORCE:
                        client.apply_plan(plan, base_version, digest, respond)
                    case Base.REPLACED:
                        respond(outcome)

            client.read_plan(on_reading, min_version=base_version)

        # A change whose base is in force, as most are, costs no read.
        client.apply_plan(plan, base_version, digest, on_first_outcome)

    def patch(self, merge, base_version, digest, respond):
        """Apply a patch to the plan of its base version.

        Args:
            merge: Function of the document of the base plan, which returns
                ``Success`` with the patched plan, or ``Failure`` with a text.
            base_version: Version that the patch builds on, 0 for none.
            digest: Digest of the patch as it was sent.
            respond: Function of the outcome.
        """
        client = self._control_client
        respond = _logged(respond, base_version, digest)

        def apply_merged(plan):
            merged = merge(plan.source if plan else b"")
            if isinstance(merged, Success):
                client.apply_plan(merged.unwrap(), base_version, digest, respond)
            else:
                respond(Outcome("invalid", detail=merged.failure()))

        def on_reading(outcome, reading):
            if reading is None or digest in reading.digests:
                respond(outcome)
                return
            match base_of_change(base_version, reading.version):
                case Base.IN_PROGRESS:
                    respond(_pending(base_version, reading))
                case Base.IN_FORCE:
                    apply_merged(reading.plan)
                case Base.REPLACED:
                    # A reading names the newest digests only.
                    client.confirm_plan(base_version, digest, respond)

        client.read_plan(on_reading, min_version=base_version)


def _pending(base_version, reading):
    """Return the outcome of a change whose base version is not in force in time.

    It is no conflict: a copy of the change that is still on its way may be accepted
    once the base version is.
    """
    detail = f"base version {base_version!r} is above {reading.version!r}"
    return Outcome("pending", detail=detail)


def _logged(respond, base_version, digest):
    fields = {"base": base_version, "digest": digest}
    return logged("change of the plan answered", fields, respond)
