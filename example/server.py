"""Example servers: `python example/server.py 9001 9002` listens on these ports of the loopback address."""

import asyncio
import contextlib
import sys

from aiohttp import web


async def start(port: int) -> None:
    """Start a server on this port that answers each request after 50 ms."""

    async def respond(request: web.Request) -> web.Response:
        await asyncio.sleep(0.05)
        return web.Response(text=f"{request.method} {request.path} done by the server on port {port}\n")

    app = web.Application()
    app.router.add_route("*", "/{any:.*}", respond)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    print(f"example server on 127.0.0.1:{port}", flush=True)


async def main() -> None:
    """Start the servers and run until the process is interrupted."""
    for port in sys.argv[1:] or ("9001", "9002"):
        await start(int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
