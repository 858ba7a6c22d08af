"""Show the whole path on this machine: python -m demo."""

import json
import secrets
import sys
import time
import urllib.error
import urllib.request

from standins.local_fleet import STORE, STORE_HOST, LocalFleet, wait_until

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
    """Send one request; return status, headers and the JSON body."""
    sent = {'x-echo': 'demo', **(headers or {})}
    if key:
        sent['Authorization'] = f'Bearer {key}'
    request = urllib.request.Request(
        f'http://{address}{path}',
        data=b'',
        headers=sent,
        method='POST',
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.headers, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.load(error)


class Account:
    """Print what happened and remember what did not."""

    def __init__(self):
        """Start without failures."""
        self.failures = []

    def report(self, what, happened, detail):
        """Print one line; remember it if it is a failure."""
        print(f'{"ok  " if happened else "FAIL"} {what}: {detail}', flush=True)
        if not happened:
            self.failures.append(what)


def explain(answer):
    """Return the verdict and reason of a refusal."""
    status, _, body = answer
    return f'{status} {body.get("reason")} ({body.get("verdict")})'


def show(fleet, account):
    """Send the calls of the demo."""
    entry = fleet.callers('stock-1')
    store = fleet.address(STORE_HOST, STORE)
    applied = fleet.apply(TICKET)
    account.report('ticket', applied.returncode == 0, applied.stdout.strip())
    issued = fleet.command('issue-key', 'harbour', '--store', store)
    key = issued.stdout.split()[-1]
    account.report('key issued', issued.returncode == 0, f'{key[:6]}...')
    wait_until(lambda: call(entry, '/stock/7', key)[0] == 200, 'first answer')
    answers = [call(entry, '/stock/7', key) for _ in range(10)]
    whole = [body for status, _, body in answers if status == 200]
    servers = sorted({body['server'] for body in whole})
    account.report(
        'whole answers',
        len(whole) == 10 and all(body['id'] == 'demo' for body in whole),
        f'{len(whole)} of 10, by {", ".join(servers)}',
    )
    nested = call(entry, '/yard/3', key, {'x-nested': '/stock>/yard'})
    account.report(
        'nested calls two deep',
        nested[0] == 200 and nested[2]['nested'] == [200],
        f'{nested[0]}, by {nested[2].get("server")}',
    )
    account.report(
        'no key',
        *expect(call(entry, '/stock/7'), 'key_missing'),
    )
    account.report(
        'unknown route',
        *expect(call(entry, '/nowhere', key), 'route_unknown'),
    )
    account.report(
        'forged token',
        *expect(
            call(entry, '/stock', None, {'x-limpetshore-token': 'f' * 32}),
            'token_unknown',
        ),
    )
    account.report(
        'open route needs no key',
        call(entry, '/open')[0] == 200,
        'answered',
    )
    show_rate(entry, key, account)
    show_repeat(entry, key, account)
    show_withdrawal(fleet, entry, store, key, account)
    seen = sum(fleet.counts(row['name'])['keys_seen'] for row in LAYOUT)
    account.report('keys seen by backend servers', seen == 0, seen)


def expect(answer, reason):
    """Return whether an answer is a refusal that did not run, and its text."""
    body = answer[2]
    good = body.get('reason') == reason and body.get('verdict') == 'not-run'
    return good, explain(answer)


def show_rate(entry, key, account):
    """Send above the rate until a refusal comes."""
    answers = [call(entry, '/stock/7', key) for _ in range(300)]
    refused = [answer for answer in answers if answer[0] == 429]
    detail = explain(refused[0]) if refused else 'none refused'
    account.report('over the rate', bool(refused), detail)


def show_repeat(entry, key, account):
    """Send a request that may not be repeated twice."""
    deadline = time.monotonic() + 25
    while time.monotonic() < deadline:
        request_id = f'{time.time_ns() // 10**6}-{secrets.token_hex(8)}'
        headers = {'x-request-id': request_id}
        first = call(entry, '/hold', key, headers)
        if first[0] == 200:
            break
        time.sleep(0.5)
    again = call(entry, '/hold', key, headers)
    account.report(
        'a repeated hold runs once',
        first[0] == 200 and again[2].get('reason') == 'repeated',
        f'{first[0]}, then {explain(again)}',
    )


def show_withdrawal(fleet, entry, store, key, account):
    """Withdraw the key and time until it is refused."""
    fleet.command('withdraw-key', 'harbour', key, '--store', store)
    started = time.monotonic()
    wait_until(
        lambda: call(entry, '/stock/7', key)[2].get('reason') == 'key_unknown',
        'withdrawal',
    )
    account.report(
        'withdrawn key refused',
        True,
        f'after {time.monotonic() - started:.2f} s',
    )


def main():
    """Run the demo; exit with 0 only if all of it happened."""
    started = time.monotonic()
    account = Account()
    settings = {'fleet': {'fence_s': 4, 'takeover_s': 12}}
    with LocalFleet(LAYOUT, settings=settings) as fleet:
        print(
            f'4 nodes in 2 zones and their servers started in '
            f'{time.monotonic() - started:.1f} s',
            flush=True,
        )
        show(fleet, account)
    print(
        f'{len(account.failures)} failures; it took '
        f'{time.monotonic() - started:.1f} s'
    )
    return 1 if account.failures else 0


if __name__ == '__main__':
    sys.exit(main())
