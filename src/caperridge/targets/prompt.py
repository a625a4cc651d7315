"""Prompt text of requests in the format of the OpenAI API."""

from collections.abc import Mapping
from typing import Any


def prompt_of(body: Mapping[str, Any]) -> str:
    r"""Return the complete prompt text of a chat or text completion request.

    >>> prompt_of({"messages": [{"role": "user", "content": "hi"}]})
    'user: hi\n'
    >>> prompt_of({"prompt": "once"})
    'once'
    """
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "".join(map(str, prompt))
    lines: list[str] = []
    for message in body["messages"]:
        lines.append(f"{message.get('role', '')}: {_text(message.get('content'))}\n")
    return "".join(lines)


def _text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return ""
