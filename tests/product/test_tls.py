"""TLS on the listeners and towards them: who is let in and who is not."""

import asyncio
import ssl
from collections.abc import Callable

import aiohttp
import pytest

from caperridge.instance.process import Instance
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform, make_app
from caperridge.store.http import HttpPlatform
from caperridge.tls import TlsFiles, client_context, peer_context, server_context
from conftest import Listen
from product.conftest import Authority

TO_PEER = ssl.Purpose.SERVER_AUTH


@pytest.mark.parametrize("listener", ["callers", "operators"])
async def test_a_listener_speaks_tls_where_the_settings_say_so(
    listener: str, authority: Authority, memory: MemoryPlatform
) -> None:
    files = authority.issue("server")
    settings = Settings(
        "instance-1", "oviedo", "http://127.0.0.1:9", tls_by_listener={listener: files}
    )
    instance = Instance(settings, memory)
    await instance.start()
    address = instance.addresses_by_listener[listener]
    trusting = client_context(authority.file)
    try:
        async with aiohttp.ClientSession() as http:
            url = f"{address}/v1/models"
            async with http.get(f"https://{url}", ssl=trusting) as response:
                assert response.status in (401, 404)
            with pytest.raises(aiohttp.ClientConnectorCertificateError):
                await http.get(f"https://{url}")
            with pytest.raises(aiohttp.ClientError):
                await http.get(f"http://{url}")
    finally:
        await instance.stop()


async def test_the_platform_is_reached_by_tls(
    authority: Authority, memory: MemoryPlatform, listen: Listen
) -> None:
    context = server_context(authority.issue("platform"))
    url = f"https://{await listen(make_app(memory), context)}"
    trusting = HttpPlatform(url, authority=authority.file)
    doubting = HttpPlatform(url)
    try:
        assert (await trusting.members()).is_ok()
        assert (await doubting.members()).is_err()
    finally:
        await trusting.close()
        await doubting.close()


async def _greets(server: TlsFiles, client: ssl.SSLContext | None) -> bool:
    async def greet(_reader: object, writer: asyncio.StreamWriter) -> None:
        writer.write(b"hello")
        writer.close()

    listening = await asyncio.start_server(
        greet, "127.0.0.1", 0, ssl=peer_context(server, ssl.Purpose.CLIENT_AUTH)
    )
    host, port = listening.sockets[0].getsockname()[:2]
    try:
        reader, writer = await asyncio.open_connection(host, port, ssl=client)
        writer.write(b"anybody there?")
        greeting = await reader.read()
        writer.close()
    except OSError:
        return False
    finally:
        listening.close()
    return greeting == b"hello"


async def test_peers_know_each_other_by_their_authority(
    authority: Authority, make_authority: Callable[[str], Authority]
) -> None:
    server = authority.issue("one", with_authority=True)
    peer = authority.issue("two", with_authority=True)
    stranger = make_authority("other").issue("three", with_authority=True)
    assert await _greets(server, peer_context(peer, TO_PEER))
    assert not await _greets(server, peer_context(stranger, TO_PEER))
    assert not await _greets(server, client_context(authority.file))
    assert not await _greets(server, None)
