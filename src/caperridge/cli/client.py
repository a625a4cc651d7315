"""HTTP calls of the command line, with errors a person can act on."""

import asyncio
from pathlib import Path
from typing import Any

import aiohttp

from caperridge.cli.errors import FINDINGS, NOT_REACHED, REFUSED, CommandError

DEADLINE_S = 60.0


def read_declarations(directory: Path) -> dict[str, str]:
    """Return the text of each TOML file in ``directory``, by name.

    Raises:
        CommandError: it is no directory, or holds no TOML file.
    """
    files = sorted(directory.glob("*.toml"))
    if not files:
        raise CommandError(f"{directory}: holds no TOML file", FINDINGS)
    return {file.name: file.read_text() for file in files}


def call(method: str, url: str, token: str, body: Any = None) -> Any:
    """Return the JSON answer of one call.

    Raises:
        CommandError: refused, with the reason, or not reached.
    """
    return asyncio.run(_call(method, url, token, body))


async def _call(method: str, url: str, token: str, body: Any) -> Any:
    headers = {"Authorization": f"Bearer {token}"}
    timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body, headers=headers) as response,
        ):
            answer = await response.json(content_type=None)
            if response.status >= 400:
                raise CommandError(refusal_text(answer), REFUSED)
            return answer
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        text = f"{url} was not reached: {error or type(error).__name__}"
        raise CommandError(text, NOT_REACHED) from error


def refusal_text(answer: Any) -> str:
    """Return what a refusal says, with each finding on a line of its own."""
    error = answer["error"]
    lines = [f"{error['code']}: {error['message']} (run: {error.get('run')})"]
    for finding in error.get("findings", []):
        lines.append(f"  {finding['source']}: {finding['key']}: {finding['message']}")
    return "\n".join(lines)
