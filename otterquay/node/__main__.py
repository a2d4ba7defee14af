"""`python -m otterquay.node`: one agent in service until SIGTERM or SIGINT; SIGHUP takes new addresses.

Exit 0 after a planned end, 2 with one line on standard error for a configuration that cannot be used or an address
that cannot be had.
"""

from __future__ import annotations

import signal

EARLY_SIGNALS: list[int] = []  # signals that came before the loop could take them
for _number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(_number, lambda number, _: EARLY_SIGNALS.append(number))

import asyncio  # noqa: E402 - the handlers stand before anything slow
import gc  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import uvloop  # noqa: E402

from otterquay.node.agent import Node  # noqa: E402
from otterquay.node.config import ConfigError, NodeConfig, load_config  # noqa: E402
from otterquay.node.json_log import JsonLogger  # noqa: E402


async def serve(path: str, config: NodeConfig) -> None:
    """Run the agent to its planned end."""
    loop = asyncio.get_running_loop()
    log = JsonLogger(sys.stderr, loop.time, os.environ.get("OTTERQUAY_LOG", "info"))
    node, ended = Node(config, random.Random(config.seed), time.time, log), asyncio.Event()

    def reload_config() -> None:
        try:
            node.reload(load_config(path))
        except ConfigError as error:
            log.error("reload_refused", reason=str(error))

    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGINT, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload_config)
    if {signal.SIGTERM, signal.SIGINT} & set(EARLY_SIGNALS):
        return log.info("ended_before_start")
    await node.start()
    gc.collect()
    gc.freeze()  # what the program is made of need not be looked through again
    if signal.SIGHUP in EARLY_SIGNALS:
        reload_config()
    await ended.wait()
    await node.shut_down()


def main() -> int:
    """The program."""
    path = os.environ.get("PROXY_CONFIG", "")
    try:
        if not path:
            raise ConfigError("PROXY_CONFIG names no file")
        config = load_config(path)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(path, config))
    except (ConfigError, OSError) as error:
        print(f"otterquay: cannot start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
