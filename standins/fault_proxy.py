"""Relay TCP connections and inject faults."""

import contextlib
import json

import anyio

MODES = ('pass', 'cut', 'silent', 'refuse', 'silent_answers')


class Route:
    """Hold the target and the active fault of one listening address."""

    def __init__(self, target):
        """Create a route without a fault."""
        self.target = target
        self.mode = 'pass'
        self.delay_s = 0.0
        self.frozen = set()
        self.open = set()


class FaultProxy:
    """Relay every route; a control connection sets faults.

    A command is one line of JSON: `{"route": "host:port", "mode": "silent"}`.
    Without `route` it applies to all routes. Modes: `cut` closes the open
    connections; `refuse` closes them and all new ones until `pass`; `silent`
    drops all bytes of the open connections, while new ones work;
    `silent_answers` drops only the bytes that the target sends on them.
    Connections silenced once stay silenced. `delay_s` delays each chunk of
    bytes in both directions.
    """

    def __init__(self, routes, control):
        """Create the routes: a mapping of listening addresses to targets."""
        self.routes = {
            str(listen): Route(target) for listen, target in routes.items()
        }
        self.listen_addresses = dict(zip(self.routes, routes, strict=True))
        self.control = control

    async def run(self):
        """Serve all routes and the control connection until cancelled."""
        async with anyio.create_task_group() as tasks:
            for name, route in self.routes.items():
                tasks.start_soon(self.listen, name, route)
            listener = await anyio.create_tcp_listener(
                local_host=self.control.host,
                local_port=self.control.port,
            )
            await listener.serve(self.serve_control)

    async def listen(self, name, route):
        """Accept and relay the connections of one route."""
        address = self.listen_addresses[name]
        listener = await anyio.create_tcp_listener(
            local_host=address.host,
            local_port=address.port,
            backlog=512,
        )

        async def serve(stream):
            await self.relay_connection(route, stream)

        await listener.serve(serve)

    async def relay_connection(self, route, client):
        """Relay one connection, or close it if the route refuses it."""
        if route.mode == 'refuse':
            await anyio.aclose_forcefully(client)
            return
        try:
            server = await anyio.connect_tcp(*route.target)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        with contextlib.suppress(anyio.BrokenResourceError):
            async with anyio.create_task_group() as tasks:
                faults = {'silent': False, 'silent_answers': False}
                connection = (tasks.cancel_scope, faults)
                route.open.add(id(connection))
                route.frozen.add(id(connection))
                self.connections = getattr(self, 'connections', {})
                self.connections[id(connection)] = (route, *connection)
                tasks.start_soon(
                    self.copy_bytes,
                    route,
                    client,
                    server,
                    faults,
                    'request',
                    tasks,
                )
                tasks.start_soon(
                    self.copy_bytes,
                    route,
                    server,
                    client,
                    faults,
                    'answer',
                    tasks,
                )
        self.connections.pop(id(connection), None)
        await anyio.aclose_forcefully(client)
        await anyio.aclose_forcefully(server)

    async def copy_bytes(
        self, route, source, destination, faults, direction, tasks
    ):
        """Copy bytes in one direction, as far as the active faults permit."""
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                chunk = await source.receive()
                if route.delay_s:
                    await anyio.sleep(route.delay_s)
                if faults['silent']:
                    continue
                if faults['silent_answers'] and direction == 'answer':
                    continue
                await destination.send(chunk)
        if not faults['silent'] and not faults['silent_answers']:
            tasks.cancel_scope.cancel()

    async def serve_control(self, stream):
        """Apply fault commands, one line of JSON each; confirm each by `ok`."""
        buffer = b''
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    buffer += await stream.receive()
                    while b'\n' in buffer:
                        line, _, buffer = buffer.partition(b'\n')
                        self.apply_command(json.loads(line))
                        await stream.send(b'ok\n')

    def apply_command(self, command):
        """Set the mode or delay of one route, or of all without `route`."""
        route_name = command.get('route')
        for name, route in self.routes.items():
            if route_name not in {None, name}:
                continue
            route.delay_s = command.get('delay_s', route.delay_s)
            mode = command.get('mode')
            if mode is None:
                continue
            assert mode in MODES
            route.mode = mode
            for connection in list(getattr(self, 'connections', {}).values()):
                owner, scope, faults = connection
                if owner is not route:
                    continue
                if mode in {'cut', 'refuse'}:
                    scope.cancel()
                if mode in {'silent', 'silent_answers'}:
                    faults[mode] = True
