"""Reads batches from standard input, passes each instance its events and writes one reply per batch."""

from __future__ import annotations

import sys
from typing import BinaryIO

from otterquay import interface as it
from otterquay.benchlink import settings, wire
from otterquay.policy.agent import Agent


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise wire.WireError("the input ends in the middle of a frame")
    return data


class InstanceHost:
    """The agent instances of one process; they share only the numbered server lists of the wire."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._agents: dict[int, Agent] = {}

    def process_batch(self, now: float, count: int, body: bytes) -> bytes:
        """Pass the records of a batch to their instances and return the reply frame."""
        records: list[bytes] = []
        for instance, record in self._decoder.decode_batch(count, body):
            if isinstance(record, wire.Provision):
                config = settings.decode_settings(record.settings_text)
                self._agents[instance] = Agent(config, record.seed)
                event: it.Event = it.Started()
            elif instance not in self._agents:
                raise wire.WireError(f"event for instance {instance}, which is not running")
            elif isinstance(record, wire.Destroy):
                del self._agents[instance]
                continue
            else:
                event = record
            try:
                actions = self._agents[instance].handle(now, event)
            except Exception as error:  # reported to the bench as a record; the process keeps running
                records.append(wire.encode(instance, wire.DecisionFailure(f"{type(error).__name__}: {error}")))
                continue
            records.extend(wire.encode(instance, action) for action in actions)
        return wire.encode_reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends at a frame boundary."""
    instance_host = InstanceHost()
    while True:
        header = source.read(wire.BATCH_HEADER.size)
        if not header:
            return
        if len(header) != wire.BATCH_HEADER.size:
            raise wire.WireError("the input ends in the middle of a frame")
        now, size, count = wire.BATCH_HEADER.unpack(header)
        sink.write(instance_host.process_batch(now, count, _read_exactly(source, size)))
        sink.flush()


def main() -> int:
    """Serve standard input and return the exit code.

    0 at the end of input, 1 when the reader of the replies has gone, 2 with one line on standard error for
    malformed input.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
