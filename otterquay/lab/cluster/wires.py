"""What the wires show: the log that the group committed, who leads, who owns, who coordinates."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.state import Duties
from otterquay.fleet import words
from otterquay.group import messages as gm
from otterquay.lab.fleetsim.judge import Judge
from otterquay.sites import messages as sm


@dataclass(slots=True)
class Wires:
    """Reads each payload once it is passed on. `books` is a machine of our own, fed with what was committed."""

    judge: Judge
    books: Duties
    now: Callable[[], float]
    entries: dict[int, dict[int, bytes]] = field(default_factory=dict)  # index, term: data
    terms: dict[int, int] = field(default_factory=dict)  # index: term under which it was committed
    done: int = 0
    leader: int = -1
    term: int = 0
    coordinators: dict[str, int] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    hooks: dict[str, list[Callable[[int], None]]] = field(default_factory=dict)
    unowned: dict[str, list[float]] = field(default_factory=dict)
    free_since: dict[str, float] = field(default_factory=dict)

    def payload_delivered(self, sender: int, to: int, payload: bytes) -> None:
        """A payload reached its receiver's socket."""
        try:
            message = words.decode(payload)
        except ValueError:
            return
        self.counts[type(message).__name__] += 1
        self.judge.message_delivered(self.now(), sender, to, message)
        if isinstance(message, dm.Relayed):
            message = words.decode(message.body)
        match message:
            case gm.Append():
                self._append(sender, message)
            case dm.Propose():
                match message.proposal.command:
                    case cm.Claim():
                        self._fire("claim", sender)
                    case cm.Handover():
                        self._fire("handover", sender)
            case sm.Lead():
                self.coordinators[self.judge.sites[sender]] = sender
                self._fire("lead", sender)

    def _fire(self, what: str, agent: int) -> None:
        for hook in self.hooks.pop(what, []):
            hook(agent)

    def yard(self, agent: int) -> None:
        """The yard started something for an agent."""
        self._fire("yard_order", agent)

    def _append(self, sender: int, m: gm.Append) -> None:
        if m.term >= self.term:
            self.term, self.leader = m.term, sender
        for i, entry in enumerate(m.entries, m.before + 1):
            known = self.entries.setdefault(i, {})
            if entry.term not in known and entry.data:
                self._written(entry.data)
            known[entry.term] = entry.data
            if i <= m.commit:
                self._commit(i, entry.term)
        if m.before and m.before <= m.commit:
            self._commit(m.before, m.before_term)
        self._apply()

    def _written(self, data: bytes) -> None:
        """An entry is on its way to the other members: an order is written down before its owner may send it."""
        proposal = cm.decode(data)
        if isinstance(proposal.command, cm.Order):
            self._fire("order", proposal.agent)

    def _commit(self, index: int, term: int) -> None:
        if self.terms.setdefault(index, term) != term:
            self.judge.add_violation("state_differs", f"entry {index} of terms {self.terms[index]} and {term}")

    def _apply(self) -> None:
        # an entry committed under a term settles all before it that were sent in the same log
        while True:
            index = self.done + 1
            term = self.terms.get(index)
            known = self.entries.get(index, {})
            if term is None and known and any(t > self.done for t in self.terms):
                nearest = min(t for t in self.terms if t > self.done)
                fitting = [t for t in known if t <= self.terms[nearest]]
                if len(fitting) == 1:
                    term = fitting[0]
            if term is None or term not in known:
                return
            data = known[term]
            result = self.books.apply(index, data) if data else None
            self.judge.entry_applied(self.now(), index, data, -1, result)
            self.done = index
            self.entries.pop(index - 2000, None)
            for duty, state in self.books.whole.duties.items():
                if state.owner is None:
                    self.free_since.setdefault(duty, self.now())
                elif duty in self.free_since:
                    self.unowned.setdefault(duty, []).append(self.now() - self.free_since.pop(duty))
