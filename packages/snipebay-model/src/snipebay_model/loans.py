"""Heartbeats and loans of slots between entry instances of one region."""

import attrs

__all__ = ["LoanReply", "LoanRequest", "LoanReturn", "PeerBeat"]


@attrs.frozen
class PeerBeat:
    """Heartbeat between entry instances of one region.

    Attributes:
        entry_id: Instance id of the sender.
        incarnation: Incarnation of the sender.
        revision: View revision that the sender has applied.
        sent_ms: Sender's clock in milliseconds.
        echo_ms: Newest ``sent_ms`` that the sender received from the receiver,
            0 for none.
        leaving: Ids of the backend servers that announced their shutdown to the
            sender or to one of its peers.
    """

    entry_id: str
    incarnation: str
    revision: int
    sent_ms: int
    echo_ms: int = 0
    leaving: tuple[str, ...] = ()


@attrs.frozen
class LoanRequest:
    """Asks another entry instance for a loan, a lease of slots that it owns.

    Attributes:
        loan_id: Id of the loan, unique for the sender.
        service: Service of the slots.
        region: Region of the backend servers.
        count: Number of slots asked for.
        sent_ms: Sender's clock in milliseconds.
    """

    loan_id: int
    service: str
    region: str
    count: int
    sent_ms: int


@attrs.frozen
class LoanReply:
    """Reply to a :class:`LoanRequest`, which grants or refuses the loan.

    Attributes:
        loan_id: Echo of the request.
        service: Service of the slots.
        sent_ms: Echo of the request.
        lease_ms: Milliseconds from ``sent_ms`` on in which a request may be
            started on a slot; it may run on after that.
        slots: Pairs of backend server id and slot number; empty for a refusal.
    """

    loan_id: int
    service: str
    sent_ms: int
    lease_ms: int
    slots: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class LoanReturn:
    """Returns slots of a loan before the lease ends.

    Attributes:
        loan_id: Id of the loan.
        slots: Pairs of backend server id and slot number.
    """

    loan_id: int
    slots: tuple[tuple[str, int], ...]
