"""Router service, which picks a backend server for each attempt."""

import time
from collections.abc import Collection
from typing import Self

from mallowspindle.config.native import NativeSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.native.cloud import Role
from mallowspindle.routing.directory import DirectoryService
from mallowspindle.routing.errors import NoServer
from mallowspindle.routing.policies import Policy, RoutingQuery, policies
from mallowspindle.routing.prefixes import PrefixMemory, Prompt
from mallowspindle.routing.servers import Dispatch, ServerView

_RETRY_AFTER_S = 2.0


@service('router', requires=('directory',))
class RouterService(Service):
    """Applies the configured policy to the usable servers."""

    def __init__(
        self, directory: DirectoryService, configured_policy: Policy
    ) -> None:
        self._directory = directory
        self._policy = configured_policy
        self._memory = PrefixMemory()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the router with the policy named in the settings."""
        configured_policy = policies[
            kernel.settings(NativeSettings).routing.policy
        ]
        return cls(
            kernel.find('directory', DirectoryService), configured_policy
        )

    def pick_engine(
        self,
        model: str,
        prompt: Prompt,
        expected_tokens: int,
        avoid: Collection[str],
    ) -> ServerView:
        """Return an engine for the model, preferably none of ``avoid``.

        Raise ``NoServer`` if no engine that serves the model is usable.
        """
        usable = self._directory.usable(model, Role.ENGINE)
        untried = [view for view in usable if view.vm.vm_id not in avoid]
        if not usable:
            raise NoServer(model, _RETRY_AFTER_S)
        query = RoutingQuery(prompt, expected_tokens, self._memory)
        return self._policy(untried or usable, query)

    def pick_plain(self, name: str, avoid: Collection[str]) -> ServerView:
        """Return the plain server with the fewest calls of this node.

        Raise ``NoServer`` if none outside ``avoid`` is usable.
        """
        usable = [
            view
            for view in self._directory.usable(name, Role.PLAIN)
            if view.vm.vm_id not in avoid
        ]
        if not usable:
            raise NoServer(name, _RETRY_AFTER_S)
        return min(usable, key=lambda view: len(view.dispatches))

    def record_dispatch(
        self, view: ServerView, attempt_id: str, prompt: Prompt
    ) -> None:
        """Record that an attempt was sent."""
        vm_id = view.vm.vm_id
        cached = self._memory.cached_tokens(vm_id, prompt)
        view.dispatches[attempt_id] = Dispatch(
            time.monotonic(), prompt.tokens - cached, cached / prompt.tokens
        )
        self._memory.remember(vm_id, prompt)

    def record_completion(self, view: ServerView, attempt_id: str) -> None:
        """Record that an attempt has ended."""
        view.dispatches.pop(attempt_id, None)

    def verify(
        self, view: ServerView, attempt_id: str, reported_share: float
    ) -> None:
        """Compare the cached share that an engine reports with the expected."""
        dispatch = view.dispatches.get(attempt_id)
        if dispatch is not None:
            self._memory.verify(
                view.vm.vm_id, dispatch.cached_share, reported_share
            )
