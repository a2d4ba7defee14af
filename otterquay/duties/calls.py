"""Types of the callables by which owners, coordinators and post holders call the yard and the group."""

from __future__ import annotations

from collections.abc import Callable

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.yard_orders import Answer, Request

Ask = Callable[[Request, Callable[[float, Answer, Effects], None], Effects], None]
Propose = Callable[[float, cm.Command, Callable[[float, cm.Result, Effects], None], Effects], bool]
