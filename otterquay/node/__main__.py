"""`python -m otterquay.node`: runs one agent until SIGTERM or SIGINT; SIGHUP reloads the addresses.

Exits with 0 after a graceful shutdown, or with 2 and one line on standard error if the configuration is invalid or
the listen address cannot be bound.
"""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EARLY_SIGNALS: list[int] = []  # signals received before the event loop handles them
for _number in HANDLED_SIGNALS:
    signal.signal(_number, lambda number, _: EARLY_SIGNALS.append(number))

import asyncio  # noqa: E402 - signal handlers are installed before the slow imports
import contextlib  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Iterator  # noqa: E402

import uvloop  # noqa: E402

from otterquay.node.agent import Node  # noqa: E402
from otterquay.node.config import ConfigError, NodeConfig, load_config  # noqa: E402
from otterquay.node.json_log import JsonLogger  # noqa: E402


@contextlib.contextmanager
def signals_blocked() -> Iterator[None]:
    """Let signals wait. Threads that start meanwhile never take one, so that only the main thread does."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


async def serve(path: str, config: NodeConfig) -> None:
    """Run the agent until a signal ends it, then shut it down gracefully."""
    loop = asyncio.get_running_loop()
    log = JsonLogger(sys.stderr, loop.time, os.environ.get("OTTERQUAY_LOG", "info"))
    node, ended = Node(config, random.Random(config.seed), time.time, log), asyncio.Event()

    def reload_config() -> None:
        try:
            node.reload(load_config(path))
        except ConfigError as error:
            log.error("reload_refused", reason=str(error))

    def end() -> None:
        node.note_end_signal()
        ended.set()

    loop.add_signal_handler(signal.SIGTERM, end)
    loop.add_signal_handler(signal.SIGINT, end)
    loop.add_signal_handler(signal.SIGHUP, reload_config)
    if {signal.SIGTERM, signal.SIGINT} & set(EARLY_SIGNALS):
        return log.info("ended_before_start")
    with signals_blocked():  # the event loop starts its worker threads, which inherit what is blocked
        await node.start()
    gc.collect()
    gc.freeze()  # exclude the long-lived objects of the start from later collections
    if signal.SIGHUP in EARLY_SIGNALS:
        reload_config()
    await ended.wait()
    await node.shut_down()


def ignore_signals() -> None:
    """Let no signal change the exit code any more.

    The interpreter puts handlers back to the default while it ends, but leaves signals that are ignored alone. They
    are blocked first: one that comes while its handler is replaced would be reported with a traceback.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def main() -> int:
    """Load the configuration, run the agent and return the exit code; signals are ignored from then on."""
    try:
        return run()
    finally:
        ignore_signals()


def run() -> int:
    """Load the configuration, run the agent and return the exit code."""
    path = os.environ.get("PROXY_CONFIG", "")
    try:
        if not path:
            raise ConfigError("environment variable PROXY_CONFIG is not set")
        config = load_config(path)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(path, config))
    except (ConfigError, OSError) as error:
        print(f"otterquay: cannot start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
