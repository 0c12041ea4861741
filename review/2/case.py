"""Answers of a new release of the searchers are never delivered.

With trouble, the searchers of a service are replaced one after the other by
ones of another version (release). Those behave as before, but one header field
of their answers ends with a space before the line break, which HTTP/1.1 allows
(RFC 9112, section 5: field-line = field-name ":" OWS field-value OWS).
"""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import standins  # noqa: E402

HOSTS = 3
SEARCHERS = 4
SECONDS = 30
RELEASE_S = 8
SHARE = 0.5  # of the searchers are replaced, the bench's default
GAP_S = 1.0
DRAIN_S = 3.0  # drain_ms
ALLOWED = 3


def release(store, record, searchers):
    """Replace a share of the searchers, one at a time."""
    for number, old in enumerate(searchers[: int(SHARE * len(searchers))]):
        new = standins.Searcher(
            f'i-new-{number}', 'desk', old.zone, store, record,
            slots=6, waiting=24, work_s=lambda: 0.02,
        )
        new.extra_headers = (('X-Served-By', f'{new.name} '),)
        new.register(version='v2')
        record.write('release', old.name, 'is replaced by', new.name)
        time.sleep(GAP_S)
        old.register(state='draining')
        threading.Timer(
            DRAIN_S + 1, lambda: (store.remove(f'servers/{old.name}'))
        ).start()


def main():
    record = standins.Record(HERE / 'record.txt')
    outcomes = {}
    with standins.Deployment(HOSTS) as deployment:
        searchers = []
        for number in range(SEARCHERS):
            searcher = standins.Searcher(
                f'i-old-{number}', 'desk', standins.ZONES[number % 3],
                deployment.store, record, slots=6, waiting=24,
                work_s=lambda: 0.02,
            )
            searcher.register()
            searchers.append(searcher)
        routes = [
            {
                'name': f'r-{path}', 'host': 'desk.example',
                'prefix': f'/{path}/', 'kind': kind, 'timeout_ms': 2000,
                'goal_ms': 441, 'priority': 2, 'backend': 'desk',
                'attempts': 2,
            }
            for path, kind in (
                ('book', 'non_idempotent'), ('look', 'idempotent')
            )
        ]
        deployment.store.put(
            'op/config', standins.config(7, routes, {'desk': 48})
        )
        deployment.await_ready()
        started_s = time.monotonic()
        lock = threading.Lock()
        count = [0]

        def caller(host, seed):
            requester = standins.Requester(host)
            chance = random.Random(seed)
            while time.monotonic() < started_s + SECONDS:
                time.sleep(chance.expovariate(5))
                with lock:
                    count[0] += 1
                    request_id = f'{count[0]:016x}'
                booking = chance.random() < 0.5
                record.write('send', request_id)
                try:
                    if booking:
                        requester.send(
                            'POST', 'desk.example', '/book/1', request_id,
                            2000, b'seat=1',
                        )
                    else:
                        requester.send(
                            'GET', 'desk.example', '/look/1', request_id, 2000
                        )
                    answer = requester.answer()
                except OSError:
                    answer = None
                    requester.close()
                status = answer[0] if isinstance(answer, tuple) else answer
                record.write('answer', request_id, status)
                outcomes[request_id] = status
            requester.close()

        threads = [
            threading.Thread(target=caller, args=(host, n * 100 + k))
            for n, host in enumerate(deployment.hosts)
            for k in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(RELEASE_S)
        if standins.TROUBLE:
            release(deployment.store, record, searchers)
        for thread in threads:
            thread.join()
    runs = {}
    for line in (HERE / 'record.txt').read_text().splitlines():
        fields = line.split()
        if fields[1] == 'run':
            runs.setdefault(fields[3], []).append(fields[2])
    lost = [i for i, s in outcomes.items() if s is None and i in runs]
    served = sum(s == 200 for s in outcomes.values())
    record.write(
        'total', 'requests', len(outcomes), 'served', served,
        'run-and-closed-without-answer', len(lost),
    )
    print(f'{len(outcomes)} requests, {served} served, {len(lost)} ran and '
          f'their connection was closed without an answer ({ALLOWED} allowed)')
    for request_id in lost[:3]:
        print('LOST', request_id, 'ran at', *runs[request_id])
    if served < len(outcomes) / 10:
        return 2
    return int(len(lost) > ALLOWED)


if __name__ == '__main__':
    try:
        sys.exit(main())
    except Exception as error:
        print('the case could not run:', repr(error))
        sys.exit(2)
