"""Takes back requests that wait at a server for weights that are over.

An entry decides when it sends a request, and a server when it begins it. How long that
takes is not the entry's to know: other entries send there too, prompts differ, servers
slow down. So a version's time is looked at for as long as a request may be begun, and
not only when it is sent.
"""

from __future__ import annotations

from attrs import define, field, frozen
from wasabideck_policy.backends import Backend
from wasabideck_policy.beliefs import Beliefs
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.outcomes import WasabideckError

from .server_connection import Answer

__all__ = ["Recalled", "Sent", "Unbegun"]


class Recalled(WasabideckError):
    """A request was taken back before its server showed that it had begun.

    It may have begun at that very moment: nothing is known of it.
    """

    status = 502


@frozen(eq=False)
class Sent:
    """A request that was sent to an engine's server."""

    answer: Answer
    backend: Backend
    engine: EngineModel


@define
class Unbegun:
    """Requests that servers of this process have not begun, as far as it sees."""

    beliefs: Beliefs
    _sent: set[Sent] = field(factory=set)

    def add(self, sent: Sent) -> None:
        """Note that a request was sent."""
        self._sent.add(sent)

    def discard(self, sent: Sent) -> None:
        """Forget a request that has ended."""
        self._sent.discard(sent)

    def take_back(self, within: float, now: float) -> None:
        """Take back what servers would begin on weights that are over.

        Whoever waits for such an answer gets ``Recalled`` and closes its connection,
        on which the server drops the request.

        Parameters
        ----------
        within : float
            Seconds after a version's name from which on nothing older is begun.
        """
        for sent in list(self._sent):
            if sent.answer.begun:
                self._sent.discard(sent)
                continue
            least = self.beliefs.least_version(sent.engine.model, within, now)
            held = self._held(sent, now)
            if held < least:
                self._sent.discard(sent)
                why = f"{sent.backend.server}: version {held}, {least} is due"
                sent.answer.fail(Recalled(why))

    def _held(self, sent: Sent, now: float) -> int:
        """Version that its server begins requests on; 0 for none that is known."""
        # Listed anew, it is another object, which its agent's word goes to; one that is
        # not listed any more still works off what it has.
        listed = self.beliefs.backends.get(sent.backend.server)
        backend = listed or sent.backend
        return backend.holds(sent.engine.model, sent.engine.layers, now)
