"""What the work of an owner, a coordinator or a holder asks for: the yard, and the group."""

from __future__ import annotations

from collections.abc import Callable

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.yard_orders import Answer, Request

Ask = Callable[[Request, Callable[[float, Answer, Effects], None], Effects], None]
Propose = Callable[[float, cm.Command, Callable[[float, cm.Result, Effects], None], Effects], bool]
