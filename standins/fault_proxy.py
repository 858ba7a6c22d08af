"""Relay TCP and inject faults: cut, silence, refuse, delay, one direction."""

import contextlib
import json

import anyio

MODES = ('pass', 'cut', 'silent', 'refuse', 'silent_answers')


class Relay:
    """Relay one listening address to a target, with a fault for each."""

    def __init__(self, target):
        """Start without faults."""
        self.target = target
        self.mode = 'pass'
        self.delay_s = 0.0
        self.frozen = set()
        self.open = set()


class FaultProxy:
    """Relay every route; faults are set over a line protocol in JSON.

    `{"route": "host:port", "mode": "silent"}`: `silent` swallows all bytes of
    connections open now while new ones work; `cut` closes those open now;
    `refuse` closes those open now and all new ones until `pass`;
    `silent_answers` swallows only what the target sends on open connections.
    """

    def __init__(self, routes, control):
        """Set the routes and the control address."""
        self.relays = {
            str(listen): Relay(target) for listen, target in routes.items()
        }
        self.listens = dict(zip(self.relays, routes, strict=True))
        self.control = control

    async def run(self):
        """Serve all routes for ever."""
        async with anyio.create_task_group() as tasks:
            for name, relay in self.relays.items():
                tasks.start_soon(self.listen, name, relay)
            listener = await anyio.create_tcp_listener(
                local_host=self.control.host,
                local_port=self.control.port,
            )
            await listener.serve(self.serve_control)

    async def listen(self, name, relay):
        """Accept connections of one route."""
        address = self.listens[name]
        listener = await anyio.create_tcp_listener(
            local_host=address.host,
            local_port=address.port,
            backlog=512,
        )

        async def serve(stream):
            await self.relay(relay, stream)

        await listener.serve(serve)

    async def relay(self, relay, client):
        """Relay one connection."""
        if relay.mode == 'refuse':
            await anyio.aclose_forcefully(client)
            return
        try:
            server = await anyio.connect_tcp(*relay.target)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        with contextlib.suppress(anyio.BrokenResourceError):
            async with anyio.create_task_group() as tasks:
                state = {'silent': False, 'silent_answers': False}
                entry = (tasks.cancel_scope, state)
                relay.open.add(id(entry))
                relay.frozen.add(id(entry))
                self.entries = getattr(self, 'entries', {})
                self.entries[id(entry)] = (relay, *entry)
                tasks.start_soon(
                    self.copy,
                    relay,
                    client,
                    server,
                    state,
                    'ask',
                    tasks,
                )
                tasks.start_soon(
                    self.copy,
                    relay,
                    server,
                    client,
                    state,
                    'answer',
                    tasks,
                )
        self.entries.pop(id(entry), None)
        await anyio.aclose_forcefully(client)
        await anyio.aclose_forcefully(server)

    async def copy(self, relay, source, sink, state, direction, tasks):
        """Copy bytes one way."""
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                chunk = await source.receive()
                if relay.delay_s:
                    await anyio.sleep(relay.delay_s)
                if state['silent']:
                    continue
                if state['silent_answers'] and direction == 'answer':
                    continue
                await sink.send(chunk)
        if not state['silent'] and not state['silent_answers']:
            tasks.cancel_scope.cancel()

    async def serve_control(self, stream):
        """Take fault commands, one JSON line each."""
        buffer = b''
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    buffer += await stream.receive()
                    while b'\n' in buffer:
                        line, _, buffer = buffer.partition(b'\n')
                        self.obey(json.loads(line))
                        await stream.send(b'ok\n')

    def obey(self, command):
        """Set the fault of one route, or of all."""
        wanted = command.get('route')
        for name, relay in self.relays.items():
            if wanted not in {None, name}:
                continue
            relay.delay_s = command.get('delay_s', relay.delay_s)
            mode = command.get('mode')
            if mode is None:
                continue
            assert mode in MODES
            relay.mode = mode
            for entry in list(getattr(self, 'entries', {}).values()):
                owner, scope, state = entry
                if owner is not relay:
                    continue
                if mode in {'cut', 'refuse'}:
                    scope.cancel()
                if mode in {'silent', 'silent_answers'}:
                    state[mode] = True
