"""Derives the group's committed log, its leader, owners and coordinators from the messages on the wire."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.state import Duties
from otterquay.fleet import codec
from otterquay.group import messages as gm
from otterquay.lab.fleetsim.judge import Judge
from otterquay.sites import messages as sm


@dataclass(slots=True)
class WireObserver:
    """Decodes each delivered payload.

    `books` is a separate replica of the group's state, to which the committed entries are applied in order.
    """

    judge: Judge
    books: Duties
    now: Callable[[], float]
    entries: dict[int, dict[int, bytes]] = field(default_factory=dict)  # data by index and term
    # by index and term of an entry: the term of the entry before it; a log that has the one has the other
    previous_terms: dict[tuple[int, int], int] = field(default_factory=dict)
    committed_terms: dict[int, int] = field(default_factory=dict)  # by index: term of the committed entry
    applied_index: int = 0
    leader: int = -1
    term: int = 0
    coordinators: dict[str, int] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    hooks: dict[str, list[Callable[[int], None]]] = field(default_factory=dict)
    unowned_s: dict[str, list[float]] = field(default_factory=dict)
    unowned_since: dict[str, float] = field(default_factory=dict)

    def payload_delivered(self, sender: int, to: int, payload: bytes) -> None:
        """Handle a payload that reached its receiver's socket."""
        try:
            message = codec.decode(payload)
        except ValueError:
            return
        self.counts[type(message).__name__] += 1
        self.judge.message_delivered(self.now(), sender, to, message)
        if isinstance(message, dm.Relayed):
            message = codec.decode(message.body)
        match message:
            case gm.Append():
                self._append(sender, message)
            case gm.Install():
                self._note_commit(message.index, message.index_term)
                self._apply()
            case dm.Propose():
                match message.proposal.command:
                    case cm.Claim():
                        self._run_hooks("claim", sender)
                    case cm.Handover():
                        self._run_hooks("handover", sender)
            case sm.Lead():
                self.coordinators[self.judge.sites[sender]] = sender
                self._run_hooks("lead", sender)

    def _run_hooks(self, event: str, agent: int) -> None:
        for hook in self.hooks.pop(event, []):
            hook(agent)

    def yard(self, agent: int) -> None:
        """Run the hooks waiting for the yard to start servers for an agent."""
        self._run_hooks("yard_order", agent)

    def progress(self) -> str:
        """How far the replica has come, and what is known of the next entry."""
        committed = max(self.committed_terms, default=0)
        following = self.applied_index + 1
        terms = sorted(self.entries.get(following, {}))
        return (
            f"the replica applied {self.applied_index} of {committed} entries known as committed; "
            f"entry {following} was seen of terms {terms}"
        )

    def _append(self, sender: int, append: gm.Append) -> None:
        if append.term >= self.term:
            self.term, self.leader = append.term, sender
        previous_term = append.before_term
        for index, entry in enumerate(append.entries, append.before + 1):
            known = self.entries.setdefault(index, {})
            self._note_previous(index, entry.term, previous_term)
            previous_term = entry.term
            if entry.term not in known and entry.data:
                self._entry_replicated(entry.data)
            known[entry.term] = entry.data
            if index <= append.commit:
                self._note_commit(index, entry.term)
        if append.before and append.before <= append.commit:
            self._note_commit(append.before, append.before_term)
        self._apply()

    def _entry_replicated(self, data: bytes) -> None:
        """Run the hooks waiting for an order to be replicated.

        This is the earliest sign of an order: its owner may send it to the yard only after it is committed.
        """
        proposal = cm.decode(data)
        if isinstance(proposal.command, cm.Order):
            self._run_hooks("order", proposal.agent)

    def _note_previous(self, index: int, term: int, previous_term: int) -> None:
        """Note the term of the entry before an entry; if the entry is committed, so is the one before it."""
        noted = self.previous_terms.setdefault((index, term), previous_term)
        if noted != previous_term:
            self.judge.add_violation(
                "state_differs", f"entry {index} of term {term} follows terms {noted} and {previous_term}"
            )
        if index > 1 and self.committed_terms.get(index) == term:
            self._note_commit(index - 1, noted)

    def _note_commit(self, index: int, term: int) -> None:
        """Note a committed entry and, as far as the log is known, those before it."""
        while index > 0:
            noted = self.committed_terms.get(index)
            if noted not in (None, term):
                self.judge.add_violation("state_differs", f"entry {index} of terms {noted} and {term}")
            if noted is not None:
                return
            self.committed_terms[index] = term
            previous_term = self.previous_terms.get((index, term))
            if previous_term is None:
                return
            index, term = index - 1, previous_term

    def _apply(self) -> None:
        while True:
            index = self.applied_index + 1
            term = self.committed_terms.get(index)
            known = self.entries.get(index, {})
            if term is None or term not in known:
                return
            data = known[term]
            result = self.books.apply(index, data) if data else None
            self.judge.entry_applied(self.now(), index, data, -1, result)
            self.applied_index = index
            self.entries.pop(index - 2000, None)
            for duty, state in self.books.group_state.duties.items():
                if state.owner is None:
                    self.unowned_since.setdefault(duty, self.now())
                elif duty in self.unowned_since:
                    self.unowned_s.setdefault(duty, []).append(self.now() - self.unowned_since.pop(duty))
