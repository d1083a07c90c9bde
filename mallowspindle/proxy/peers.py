"""Passes requests on through a peer that reaches their service."""

import hmac
import random
from collections.abc import Collection
from dataclasses import replace

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.sharing.service import SharingService

# Header of requests that a peer passes on: its name and a proof that it holds
# the key that all entry VMs share. It never reaches a server.
_RELAY_HEADER = 'Mallowspindle-Relay'
_PROOF_CHARS = 32


class PeerRelays:
    """Chooses peers to pass requests on, and recognises what they passed on."""

    def __init__(self, sharing: SharingService, shared_key: bytes) -> None:
        self._sharing = sharing
        self._key = shared_key

    def choose(
        self, service_name: str, avoid: Collection[str]
    ) -> MemberInfo | None:
        """Return a peer that reaches a service; None if none is known.

        It is the less busy of two random ones, so that few peers share the
        requests of many nodes.
        """
        not_reaching = self._sharing.peer_work().not_reached
        reaching = [
            info
            for info in self._sharing.peers()
            if info.http_address
            and not info.leaving
            and info.name not in avoid
            and service_name not in not_reaching.get(info.name, ())
        ]
        if not reaching:
            return None
        drawn = random.sample(reaching, min(2, len(reaching)))
        return min(drawn, key=lambda info: info.in_progress)

    def sign(self, request_id: str) -> dict[str, str]:
        """Return the header with which a request is passed on."""
        name = self._sharing.membership.own.name
        return {_RELAY_HEADER: f'{name} {self._proof(name, request_id)}'}

    def accept(self, request: CallerRequest) -> CallerRequest:
        """Return a request without the header, and with its sender if proved.

        A caller's own header is dropped: it would escape the quota.
        """
        text = request.headers.popone(_RELAY_HEADER, None)
        if text is None:
            return request
        request.headers.popall(_RELAY_HEADER, None)
        name, _, proof = text.partition(' ')
        expected = self._proof(name, request.request_id)
        if not hmac.compare_digest(proof.encode(), expected.encode()):
            return request
        return replace(request, relayed_by=name)

    def _proof(self, name: str, request_id: str) -> str:
        digest = hmac.new(self._key, f'{name} {request_id}'.encode(), 'sha256')
        return digest.hexdigest()[:_PROOF_CHARS]
