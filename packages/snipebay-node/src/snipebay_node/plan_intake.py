"""Takes changes of the traffic plan, of which several may be in progress at once."""

import structlog
from returns.result import Success
from snipebay_model.messages import Outcome

__all__ = ["PlanIntake"]

log = structlog.get_logger(__name__)


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

        def wait_for_base(outcome):
            if outcome.code != "conflict":
                respond(outcome)
                return

            def apply_again(read_outcome, reading):
                if reading is None:
                    respond(read_outcome)
                elif reading.version == base_version:
                    client.apply_plan(plan, base_version, digest, respond)
                elif reading.version < base_version:
                    respond(_pending(base_version, reading))
                else:
                    respond(outcome)

            client.read_plan(apply_again, min_version=base_version)

        client.apply_plan(plan, base_version, digest, wait_for_base)

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

        def apply_merged(outcome, reading):
            if reading is None or digest in reading.digests:
                respond(outcome)
            elif reading.version > base_version:
                # A reading names the newest digests only.
                client.confirm_plan(base_version, digest, respond)
            elif reading.version < base_version:
                respond(_pending(base_version, reading))
            else:
                merged = merge(reading.plan.source if reading.plan else b"")
                if isinstance(merged, Success):
                    client.apply_plan(merged.unwrap(), base_version, digest, respond)
                else:
                    respond(Outcome("invalid", detail=merged.failure()))

        client.read_plan(apply_merged, min_version=base_version)


def _pending(base_version, reading):
    """Return the outcome of a change whose base version is not in force in time.

    It is no conflict: a copy of the change that is still on its way may be accepted
    once the base version is.
    """
    detail = f"base version {base_version!r} is above {reading.version!r}"
    return Outcome("pending", detail=detail)


def _logged(respond, base_version, digest):
    """Return a function that logs an outcome and responds with it."""

    def finish(outcome):
        log.info(
            "change of the plan answered",
            base=base_version,
            digest=digest,
            outcome=outcome.code,
            detail=outcome.detail,
            revision=outcome.revision,
        )
        respond(outcome)

    return finish
