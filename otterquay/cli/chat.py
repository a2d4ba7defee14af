"""`otterquay chat URL`: an interactive chat client for players and operators."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from urllib.parse import urlsplit

import click
import msgspec

from otterquay.chat.gateway import WebSocket, dial
from otterquay.chat.tokens import proof

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


async def _run_session(address: str, name: str, tenant: str, operator: bool, key: bytes | None) -> None:
    websocket = await dial(address)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)

    def send(**message: object) -> None:
        websocket.send(msgspec.json.encode(message))

    async def receive_messages(websocket: WebSocket) -> None:
        while True:
            for text in websocket.messages():
                message = msgspec.json.decode(text)
                message_type = message.pop("type")
                if message_type == "challenge":
                    role = "operator" if operator else "player"
                    proof_hex = proof(key, message["nonce"], role, tenant, name) if key else ""  # type: ignore[arg-type]
                    send(type="hello", name=name, tenant=tenant, role=role, proof=proof_hex)
                elif message_type == "welcome":
                    click.echo("welcome; type a command, such as /lobby")
                else:
                    click.echo(f"{message_type}: " + " ".join(f"{k}={v}" for k, v in message.items()))
                    if message_type == "answer":
                        send(type="ack", id=message["id"])
            if not await websocket.receive():
                click.echo(f"closed: {websocket.protocol.close_code} {websocket.protocol.close_reason or ''}")
                return
            websocket.flush()

    async def send_typed_lines() -> None:
        number = 0
        while line := (await lines.readline()).decode("utf-8", "replace").strip():
            number += 1
            send(type="command", id=f"typed-{number}", text=line)
        await asyncio.sleep(1.0)  # time for the last answers
        websocket.close(1000, "")

    receiver, sender = asyncio.create_task(receive_messages(websocket)), asyncio.create_task(send_typed_lines())
    await receiver
    sender.cancel()


@click.command()
@click.argument("url")
@click.option("--name", default="player", show_default=True)
@click.option("--tenant", default="", help="Tenant of the session.")
@click.option("--operator", is_flag=True, help="Connect as an operator: /status, /votes, /follow; needs --key.")
@click.option("--key", "key_file", type=EXISTING_FILE, help="File with the chat key, 64 hex digits.")
def chat(url: str, name: str, tenant: str, operator: bool, key_file: Path | None) -> None:
    """Chat interactively with the gateway at URL, ws://HOST:PORT; an empty line or the end of input closes it."""
    key = bytes.fromhex(key_file.read_text().strip()) if key_file else None
    address = urlsplit(url).netloc or url
    try:
        asyncio.run(_run_session(address, name, tenant, operator, key))
    except OSError as error:
        raise click.ClickException(str(error)) from None
