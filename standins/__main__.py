"""Start a stand-in: python -m standins store|backend|proxy|load ..."""

import argparse
import contextlib
import json
import signal
import sys

import anyio
import httpcore

from limpetshore import clock
from limpetshore.settings import parse_address
from standins.asgi_server import AsgiServer
from standins.backend_server import BackendApp
from standins.fault_proxy import FaultProxy
from standins.load_sender import send_load
from standins.object_store import ObjectStoreApp


async def serve(app, address, *, on_stop=None, graceful_s=5):
    """Serve an application until SIGTERM, then await `on_stop` and stop."""
    server = AsgiServer(app, address, graceful_s=graceful_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_stopped)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            await anext(signals)
        if on_stop:
            await on_stop()
        server.stop()
        await server.wait_stopped()
        tasks.cancel_scope.cancel()


async def run_store(options):
    """Run the in-memory object store."""
    await serve(ObjectStoreApp(), parse_address(options.address))


async def run_backend(options):
    """Run a backend server that announces its state every 0.5 s."""
    app = BackendApp(
        options.name,
        options.slots,
        options.service_ms / 1000,
        parse_address(options.node),
    )
    announced = {'state': 'ready'}
    boot_id = f'{options.name}-{clock.wall_time()}'

    async def announce_once():
        body = json.dumps(
            {
                'state': announced['state'],
                'slots': options.announced_slots or options.slots,
                'boot': boot_id,
            }
        )
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request(
                'POST',
                f'http://{options.admin}/announce',
                content=body.encode(),
            )

    async def announce_periodically():
        while True:
            with contextlib.suppress(
                httpcore.NetworkError,
                httpcore.ProtocolError,
                OSError,
            ):
                await announce_once()
            await anyio.sleep(0.5)

    async def announce_draining():
        announced['state'] = 'draining'
        with contextlib.suppress(Exception):
            await announce_once()
        await anyio.sleep(options.drain_s)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(announce_periodically)
        await serve(
            app,
            parse_address(options.address),
            on_stop=announce_draining,
        )
        tasks.cancel_scope.cancel()


async def run_proxy(options):
    """Run a fault-injecting TCP proxy."""
    routes = {}
    for route in options.route:
        listen, _, target = route.partition('=')
        routes[parse_address(listen)] = parse_address(target)
    await FaultProxy(routes, parse_address(options.control)).run()


async def run_load(options):
    """Send the load of a plan and print the report as JSON."""
    print(json.dumps(await send_load(json.loads(options.plan))))


def main():
    """Run the stand-in named on the command line."""
    parser = argparse.ArgumentParser()
    subparsers = parser.add_subparsers(required=True)
    store = subparsers.add_parser('store')
    store.add_argument('--address', required=True)
    store.set_defaults(run=run_store)
    backend = subparsers.add_parser('backend')
    backend.add_argument('--name', required=True)
    backend.add_argument('--address', required=True)
    backend.add_argument('--node', required=True)
    backend.add_argument('--admin', required=True)
    backend.add_argument('--slots', type=int, default=20)
    backend.add_argument('--announced-slots', type=int, default=0)
    backend.add_argument('--service-ms', type=float, default=1)
    backend.add_argument('--drain-s', type=float, default=0.5)
    backend.set_defaults(run=run_backend)
    proxy = subparsers.add_parser('proxy')
    proxy.add_argument('--control', required=True)
    proxy.add_argument('--route', action='append', default=[])
    proxy.set_defaults(run=run_proxy)
    load = subparsers.add_parser('load')
    load.add_argument('plan')
    load.set_defaults(run=run_load)
    options = parser.parse_args()
    anyio.run(options.run, options, backend_options={'use_uvloop': True})
    return 0


if __name__ == '__main__':
    sys.exit(main())
