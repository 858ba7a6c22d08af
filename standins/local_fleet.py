"""Start nodes and stand-ins as processes on loopback addresses."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

# Addresses are 127.<net>.<side>.<host>:<port>, with these ports.
CALLERS_PORT, PEERS_PORT, CONTROL_PORT, ADMIN_PORT, BACKEND_PORT, STORE_PORT = (
    range(7000, 7006)
)
# Sides: the process itself, or the proxy in front of it.
DIRECT, PROXIED = 0, 1
# Hosts of the store and the proxy; nodes count from 10.
STORE_HOST, PROXY_HOST = 250, 251
START_TIMEOUT_S = 15
NETWORK_COUNT = 200
RESERVATION_HOST, RESERVATION_PORT = 252, 7008


class LoopbackNetwork:
    """Reserve the second number of the loopback addresses of a fleet.

    Test runs beside each other would otherwise use the same addresses if their
    process ids differ by a multiple of the number of networks.
    """

    def __init__(self):
        """Reserve the first free network from that of the process id on."""
        start = os.getpid() % NETWORK_COUNT
        for offset in range(NETWORK_COUNT):
            self.number = 20 + (start + offset) % NETWORK_COUNT
            self.reservation = socket.socket()
            try:
                self.reservation.bind(
                    (
                        f'127.{self.number}.0.{RESERVATION_HOST}',
                        RESERVATION_PORT,
                    )
                )
            except OSError:
                self.reservation.close()
                continue
            return
        raise OSError('no loopback network is free')

    def release(self):
        """Let other fleets use the network."""
        self.reservation.close()


class LocalFleet:
    """Run a store, nodes with their backend servers and optionally a proxy."""

    def __init__(self, layout, *, settings=None, use_proxy=False):
        """Prepare a fleet of nodes, each described by a mapping of `layout`.

        Keys: name, service, zone and the optional slots, announced_slots
        and service_ms of its backend server. `settings` apply to all nodes.
        """
        self.layout = layout
        self.settings = settings or {}
        self.use_proxy = use_proxy
        self.network = LoopbackNetwork()
        self.net = self.network.number
        self.folder = Path(tempfile.mkdtemp(prefix='limpetshore-'))
        self.processes = {}
        self.proxy_control = f'127.{self.net}.0.{PROXY_HOST}:7009'
        self.store = self.address(STORE_HOST, STORE_PORT)

    def address(self, host, port, side=None):
        """Return an address, by default that of the proxy if it is used."""
        if side is None:
            side = PROXIED if self.use_proxy else DIRECT
        return f'127.{self.net}.{side}.{host}:{port}'

    def host(self, name):
        """Return the host part (last octet) of the addresses of a node."""
        return 10 + [row['name'] for row in self.layout].index(name)

    def callers_address(self, name):
        """Return the address at which a node accepts callers."""
        return self.address(self.host(name), CALLERS_PORT, DIRECT)

    def admin_address(self, name):
        """Return the admin address of a node."""
        return self.address(self.host(name), ADMIN_PORT, DIRECT)

    def spawn(self, key, *command):
        """Start a Python module as a process that logs to a file."""
        log = (self.folder / f'{key}.log').open('ab')
        self.processes[key] = subprocess.Popen(
            [sys.executable, '-m', *command],
            stdout=log,
            stderr=log,
            cwd=Path(__file__).parent.parent,
        )
        return self.processes[key]

    def start(self):
        """Start all processes and wait until the nodes see each other ready."""
        self.start_store()
        if self.use_proxy:
            self.start_proxy()
        for row in self.layout:
            self.start_node(row['name'])
            self.start_backend(row['name'])
        self.wait_ready()

    def start_store(self):
        """Start the object store."""
        address = self.address(STORE_HOST, STORE_PORT, DIRECT)
        self.spawn('store', 'standins', 'store', '--address', address)
        wait_until(lambda: get_json(f'http://{address}/counts'), 'store')

    def start_proxy(self):
        """Start the proxy with a route for every address nodes connect to."""
        routes = [
            (STORE_HOST, STORE_PORT),
            *(
                (self.host(row['name']), port)
                for row in self.layout
                for port in (PEERS_PORT, CONTROL_PORT, BACKEND_PORT)
            ),
        ]
        options = [
            f'--route={self.address(*route, PROXIED)}'
            f'={self.address(*route, DIRECT)}'
            for route in routes
        ]
        self.spawn(
            'proxy',
            'standins',
            'proxy',
            '--control',
            self.proxy_control,
            *options,
        )
        host, port = self.proxy_control.split(':')
        wait_until(lambda: can_connect(host, int(port)), 'proxy')

    def start_node(self, name):
        """Write the settings of a node and start it."""
        row = next(row for row in self.layout if row['name'] == name)
        host = self.host(name)
        seeds = [
            self.address(self.host(other['name']), CONTROL_PORT)
            for other in self.layout
            if other['name'] != name
        ][:3]
        sections = {
            'node': {'name': name, 'zone': row['zone']},
            'listen': {
                'callers': self.address(host, CALLERS_PORT, DIRECT),
                'peers': self.address(host, PEERS_PORT, DIRECT),
                'control': self.address(host, CONTROL_PORT, DIRECT),
                'admin': self.address(host, ADMIN_PORT, DIRECT),
                'peers_seen_as': self.address(host, PEERS_PORT),
                'control_seen_as': self.address(host, CONTROL_PORT),
            },
            'backend': {
                'service': row['service'],
                'address': self.address(host, BACKEND_PORT),
                'calls_from': '127.0.0.1',
            },
            'store': {'address': self.store},
            'fleet': {'seeds': seeds},
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        path = self.folder / f'{name}.toml'
        path.write_text(to_toml(sections))
        self.spawn(name, 'limpetshore', 'node', str(path))

    def start_backend(self, name):
        """Start the backend server beside a node."""
        row = next(row for row in self.layout if row['name'] == name)
        host = self.host(name)
        self.spawn(
            f'{name}-server',
            'standins',
            'backend',
            '--name',
            name,
            '--address',
            self.address(host, BACKEND_PORT, DIRECT),
            '--node',
            self.callers_address(name),
            '--admin',
            self.admin_address(name),
            '--slots',
            str(row.get('slots', 20)),
            '--announced-slots',
            str(row.get('announced_slots', 0)),
            '--service-ms',
            str(row.get('service_ms', 1)),
        )

    def wait_ready(self, names=None, ticket=False):
        """Wait until each node sees all ready and, if asked, has a ticket."""
        names = names or [row['name'] for row in self.layout]
        for name in names:
            wait_until(lambda: self.sees_all(name, names, ticket), name)

    def sees_all(self, name, names, ticket):
        """Return whether a node sees the named nodes ready."""
        status = self.status(name)
        ready = {
            member['name']
            for member in status['members']
            if member['status'] == 'ready'
        }
        has_ticket = status['ticket'] is not None or not ticket
        return ready >= set(names) and status['ledger_version'] and has_ticket

    def status(self, name):
        """Return the status of a node."""
        return get_json(f'http://{self.admin_address(name)}/status')

    def metrics(self, name):
        """Return the metrics of a node: values by name and labels."""
        text = get_text(f'http://{self.admin_address(name)}/metrics')
        lines = [line for line in text.splitlines() if line[:1] != '#']
        return {
            line.rpartition(' ')[0]: float(line.rpartition(' ')[2])
            for line in lines
        }

    def counts(self, name):
        """Return the counts kept by the backend server of a node."""
        address = self.address(self.host(name), BACKEND_PORT, DIRECT)
        return get_json(f'http://{address}/stand-in/counts')

    def slow_down(self, name, factor):
        """Multiply the service time of the backend server of a node."""
        address = self.address(self.host(name), BACKEND_PORT, DIRECT)
        get_text(f'http://{address}/stand-in/slowdown/{factor}')

    def set_store_fault(self, fault):
        """Set the fault of the store; `up` ends it."""
        address = self.address(STORE_HOST, STORE_PORT, DIRECT)
        get_json(f'http://{address}/fault/{fault}')

    def store_counts(self):
        """Return how many calls of each kind the store received."""
        address = self.address(STORE_HOST, STORE_PORT, DIRECT)
        return get_json(f'http://{address}/counts')

    def set_fault(self, mode, name=None, port=None, **more):
        """Set a fault of the proxy for the address of `name`, or for all."""
        import socket

        command = {'mode': mode, **more}
        if name is not None:
            host = STORE_HOST if name == 'store' else self.host(name)
            command['route'] = self.address(host, port, PROXIED)
        host, port = self.proxy_control.split(':')
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(json.dumps(command).encode() + b'\n')
            connection.recv(8)

    def command(self, *arguments):
        """Run a command of limpetshore and return the completed process."""
        return subprocess.run(
            [sys.executable, '-m', 'limpetshore', *arguments],
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
            cwd=Path(__file__).parent.parent,
        )

    def apply(self, ticket):
        """Apply a ticket given as mappings; bypass the proxy."""
        path = self.folder / f'ticket-{ticket["number"]}-{time.time_ns()}.toml'
        path.write_text(to_toml(ticket))
        address = self.address(STORE_HOST, STORE_PORT, DIRECT)
        return self.command('apply', str(path), '--store', address)

    def start_load(self, plan):
        """Start the load sender as a separate process."""
        return subprocess.Popen(
            [sys.executable, '-m', 'standins', 'load', json.dumps(plan)],
            stdout=subprocess.PIPE,
            text=True,
            cwd=Path(__file__).parent.parent,
        )

    def send(self, plan):
        """Send the load of a plan and return the report."""
        return read_report(self.start_load(plan))

    def count_executions(self):
        """Return how often each request id ran on all backend servers."""
        total = {}
        for row in self.layout:
            for request_id, count in self.counts(row['name'])['runs'].items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def signal(self, key, number):
        """Send a signal to a process."""
        self.processes[key].send_signal(number)

    def kill(self, key):
        """Kill a process (SIGKILL) and wait for its end."""
        self.processes[key].kill()
        self.processes[key].wait()

    def terminate(self, key, timeout_s=40):
        """Terminate a process (SIGTERM) and return its exit code."""
        self.processes[key].terminate()
        return self.processes[key].wait(timeout_s)

    def stop(self):
        """Kill all processes of the fleet, also those paused by SIGSTOP."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.network.release()

    def __enter__(self):
        """Start the fleet."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info):
        """Stop the fleet."""
        self.stop()


def read_report(process):
    """Wait for a load sender to end and return its report."""
    output, _ = process.communicate(timeout=120)
    return json.loads(output)


def to_toml(mapping, prefix=''):
    """Return mappings as TOML."""
    lines = []
    nested = []
    for name, value in mapping.items():
        if isinstance(value, dict):
            nested.append((f'{prefix}{name}', value))
        else:
            lines.append(f'{name} = {json.dumps(value)}')
    text = '\n'.join(lines) + '\n'
    for name, table in nested:
        text += f'[{name}]\n' + to_toml(table, f'{name}.')
    return text


def get_text(url):
    """Return the body of the answer to a GET request."""
    with urllib.request.urlopen(url, timeout=5) as response:
        return response.read().decode()


def get_json(url):
    """Return the parsed JSON of the answer to a GET request."""
    return json.loads(get_text(url))


def can_connect(host, port):
    """Return True if a port accepts connections; raise OSError otherwise."""
    import socket

    with socket.create_connection((host, port), timeout=1):
        return True


def wait_until(check, what, timeout_s=START_TIMEOUT_S):
    """Wait until a check succeeds; retry it after OSError and ValueError."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        error = None
        try:
            if check():
                return
        except (OSError, ValueError) as caught:
            error = caught
        time.sleep(0.05)
    raise TimeoutError(
        f'{what}: check failed for {timeout_s} s (last error: {error})'
    )
