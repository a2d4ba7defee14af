"""Types of the callables by which owners, coordinators and post holders call the yard and the group."""

from __future__ import annotations

from collections.abc import Callable

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.yard_orders import Answer, Request

# sends a request to the yard; the callback gets the time, the answer and the effects of that step
Ask = Callable[[Request, Callable[[float, Answer, Effects], None], Effects], None]
# queues a command for the group and calls back with its result; False if the queue is full
Propose = Callable[[float, cm.Command, Callable[[float, cm.Result, Effects], None], Effects], bool]
