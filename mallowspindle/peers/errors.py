"""Errors of the connections between entry VMs."""


class PeerError(Exception):
    """A peer gave no usable reply."""


class PeerUnreachable(PeerError):
    """There is no connection to the peer; the message was not sent."""


class PeerTimeout(PeerError):
    """The peer did not reply in time; it may have handled the message."""


class PeerRefused(PeerError):
    """The peer replied with an error."""


class HandshakeFailed(PeerError):
    """The other side uses a different key or protocol version."""
