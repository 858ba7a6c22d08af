"""Demonstrate limpetshore on a local fleet: python -m demo."""

import json
import secrets
import sys
import time
import urllib.error
import urllib.request

from standins.local_fleet import STORE_HOST, STORE_PORT, LocalFleet, wait_until

LAYOUT = [
    {'name': 'stock-1', 'service': 'stock', 'zone': 'zone-a'},
    {'name': 'stock-2', 'service': 'stock', 'zone': 'zone-b'},
    {'name': 'yard-1', 'service': 'yard', 'zone': 'zone-a'},
    {'name': 'yard-2', 'service': 'yard', 'zone': 'zone-b'},
]
TICKET = {
    'number': 1,
    'operator': 'demo',
    'customers': {'harbour': {'rate': 50, 'burst': 20}},
    'routes': {
        'lookup': {'path': '/stock', 'service': 'stock', 'is_repeatable': True},
        'hold': {'path': '/hold', 'service': 'stock'},
        'yards': {'path': '/yard', 'service': 'yard', 'is_repeatable': True},
        'health': {'path': '/open', 'service': 'yard', 'is_open': True},
    },
}


def call(address, path, key=None, headers=None):
    """Send one request; return status, headers and parsed JSON body."""
    request_headers = {'x-echo': 'demo', **(headers or {})}
    if key:
        request_headers['Authorization'] = f'Bearer {key}'
    request = urllib.request.Request(
        f'http://{address}{path}',
        data=b'',
        headers=request_headers,
        method='POST',
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.headers, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.load(error)


class Checklist:
    """Print the result of each check and collect those that failed."""

    def __init__(self):
        """Create an empty list of failures."""
        self.failures = []

    def record(self, name, passed, detail):
        """Print the result of a check; record its name if it failed."""
        print(f'{"ok  " if passed else "FAIL"} {name}: {detail}', flush=True)
        if not passed:
            self.failures.append(name)


def describe_refusal(answer):
    """Return status, reason and verdict of a refusal as text."""
    status, _, body = answer
    return f'{status} {body.get("reason")} ({body.get("verdict")})'


def run_checks(fleet, checklist):
    """Apply a ticket, issue a key and check each feature in turn."""
    ingress = fleet.callers_address('stock-1')
    store = fleet.address(STORE_HOST, STORE_PORT)
    applied = fleet.apply(TICKET)
    checklist.record('ticket', applied.returncode == 0, applied.stdout.strip())
    issued = fleet.command('issue-key', 'harbour', '--store', store)
    key = issued.stdout.split()[-1]
    checklist.record('key issued', issued.returncode == 0, f'{key[:6]}...')
    wait_until(lambda: call(ingress, '/stock/7', key)[0] == 200, 'first answer')
    answers = [call(ingress, '/stock/7', key) for _ in range(10)]
    complete = [body for status, _, body in answers if status == 200]
    servers = sorted({body['server'] for body in complete})
    checklist.record(
        'complete answers',
        len(complete) == 10 and all(body['id'] == 'demo' for body in complete),
        f'{len(complete)} of 10, by {", ".join(servers)}',
    )
    nested = call(ingress, '/yard/3', key, {'x-nested': '/stock>/yard'})
    checklist.record(
        'nested calls on two levels',
        nested[0] == 200 and nested[2]['nested'] == [200],
        f'{nested[0]}, by {nested[2].get("server")}',
    )
    checklist.record(
        'call without a key',
        *check_refusal(call(ingress, '/stock/7'), 'key_missing'),
    )
    checklist.record(
        'unknown route',
        *check_refusal(call(ingress, '/nowhere', key), 'route_unknown'),
    )
    checklist.record(
        'forged token',
        *check_refusal(
            call(ingress, '/stock', None, {'x-limpetshore-token': 'f' * 32}),
            'token_unknown',
        ),
    )
    checklist.record(
        'open route needs no key',
        call(ingress, '/open')[0] == 200,
        'answered with 200',
    )
    check_rate_limit(ingress, key, checklist)
    check_deduplication(ingress, key, checklist)
    check_key_withdrawal(fleet, ingress, store, key, checklist)
    keys_seen = sum(fleet.counts(row['name'])['keys_seen'] for row in LAYOUT)
    checklist.record('keys seen by backend servers', keys_seen == 0, keys_seen)


def check_refusal(answer, reason):
    """Return whether a request was refused without running, and the text."""
    body = answer[2]
    is_expected = (
        body.get('reason') == reason and body.get('verdict') == 'not-run'
    )
    return is_expected, describe_refusal(answer)


def check_rate_limit(ingress, key, checklist):
    """Send more calls than the rate permits and expect a refusal."""
    answers = [call(ingress, '/stock/7', key) for _ in range(300)]
    refused = [answer for answer in answers if answer[0] == 429]
    detail = describe_refusal(refused[0]) if refused else 'none refused'
    checklist.record('rate limit exceeded', bool(refused), detail)


def check_deduplication(ingress, key, checklist):
    """Send a request that is not repeatable twice; it must run once."""
    deadline = time.monotonic() + 25
    while time.monotonic() < deadline:
        request_id = f'{time.time_ns() // 10**6}-{secrets.token_hex(8)}'
        headers = {'x-request-id': request_id}
        first = call(ingress, '/hold', key, headers)
        if first[0] == 200:
            break
        time.sleep(0.5)
    second = call(ingress, '/hold', key, headers)
    checklist.record(
        'duplicate request runs once',
        first[0] == 200 and second[2].get('reason') == 'repeated',
        f'{first[0]}, then {describe_refusal(second)}',
    )


def check_key_withdrawal(fleet, ingress, store, key, checklist):
    """Withdraw the key and measure how long it works after the command."""
    fleet.command('withdraw-key', 'harbour', key, '--store', store)
    started = time.monotonic()
    wait_until(
        lambda: (
            call(ingress, '/stock/7', key)[2].get('reason') == 'key_unknown'
        ),
        'key withdrawal',
    )
    checklist.record(
        'withdrawn key refused',
        True,
        f'after {time.monotonic() - started:.2f} s',
    )


def main():
    """Run the demo; return exit code 0 only if every check passed."""
    started = time.monotonic()
    checklist = Checklist()
    settings = {'fleet': {'fence_s': 4, 'takeover_s': 12}}
    with LocalFleet(LAYOUT, settings=settings) as fleet:
        print(
            f'started 4 nodes in 2 zones with their backend servers in '
            f'{time.monotonic() - started:.1f} s',
            flush=True,
        )
        run_checks(fleet, checklist)
    print(
        f'{len(checklist.failures)} checks failed; total time '
        f'{time.monotonic() - started:.1f} s'
    )
    return 1 if checklist.failures else 0


if __name__ == '__main__':
    sys.exit(main())
