"""A searcher that has gone gets requests for seconds after drain_ms.

A searcher is taken away: its entry is removed without a draining state, and it
goes on serving for a while. With trouble, the open connections of the hosts to
the store have gone silent just before, while new ones work. Only requests that
reach the searcher from hosts that are in touch again are counted.
"""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import standins  # noqa: E402

HOSTS = 6
SEARCHERS = 4
SECONDS = 30
SILENT_S = 8.0
REMOVED_AFTER_S = 0.1
DRAIN_S = 3.0  # drain_ms
CONTACT_S = 4.0  # contact_ms
LINGER_S = 12.0  # "and a little longer (at times many seconds)"
ROUTES = [
    {
        'name': 'r-desk', 'host': 'desk.example', 'prefix': '/desk/',
        'kind': 'idempotent', 'timeout_ms': 2000, 'goal_ms': 441,
        'priority': 2, 'backend': 'desk', 'attempts': 2,
    }
]


def main():
    record = standins.Record(HERE / 'record.txt')
    sent_s = {}
    hosts_of = {}
    statuses = []
    with standins.Deployment(HOSTS) as deployment:
        searchers = []
        for number in range(SEARCHERS):
            searcher = standins.Searcher(
                f'i-{number}', 'desk', standins.ZONES[number % 3],
                deployment.store, record, slots=6, waiting=24,
                work_s=lambda: 0.02,
            )
            searcher.register()
            searchers.append(searcher)
        arrivals = []
        gone = searchers[0]
        run = gone.handle

        def handle(connection, request):
            arrivals.append(
                (time.monotonic(), request.headers['x-request-id'])
            )
            run(connection, request)

        gone.handle = handle
        deployment.store.put(
            'op/config', standins.config(7, ROUTES, {'desk': 48})
        )
        deployment.await_ready()
        started_s = time.monotonic()
        lock = threading.Lock()
        count = [0]

        def caller(host, seed):
            requester = standins.Requester(host)
            chance = random.Random(seed)
            while time.monotonic() < started_s + SECONDS:
                time.sleep(chance.expovariate(8))
                with lock:
                    count[0] += 1
                    request_id = f'{count[0]:016x}'
                record.write('send', request_id, host.node)
                sent_s[request_id] = time.monotonic()
                hosts_of[request_id] = host.node
                try:
                    requester.send(
                        'GET', 'desk.example', '/desk/1', request_id, 2000
                    )
                    answer = requester.answer()
                except OSError:
                    answer = None
                    requester.close()
                status = answer[0] if isinstance(answer, tuple) else answer
                record.write('answer', request_id, status)
                statuses.append(status)
            requester.close()

        threads = [
            threading.Thread(target=caller, args=(host, n * 100 + k))
            for n, host in enumerate(deployment.hosts)
            for k in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(SILENT_S)
        # The longest detection is that of a host whose watch has just begun.
        deployment.store.await_watch()
        silent_s = time.monotonic()
        if standins.TROUBLE:
            deployment.store.silence()
            record.write('silent', 'open connections to the store')
        time.sleep(REMOVED_AFTER_S)
        removed_s = time.monotonic()
        deployment.store.remove(f'servers/{gone.name}')
        record.write('removed', gone.name)
        time.sleep(LINGER_S)
        gone.stop()
        for thread in threads:
            thread.join()
    # In touch again contact_ms after the disturbance; both the request's
    # time of sending and its arrival have to be later than that.
    from_s = max(removed_s + DRAIN_S, silent_s + CONTACT_S)
    late = [
        (at_s, request_id)
        for at_s, request_id in arrivals
        if at_s > from_s and sent_s[request_id] > from_s
    ]
    before = sum(at_s < removed_s for at_s, _ in arrivals)
    for at_s, request_id in late:
        record.write(
            'late', request_id, hosts_of[request_id],
            f'{at_s - removed_s:.3f} s after the removal',
        )
    last_s = max((at_s for at_s, _ in late), default=removed_s) - removed_s
    by_host = sorted({hosts_of[request_id] for _, request_id in late})
    text = (
        f'{before} requests reached the searcher before its removal, '
        f'{len(late)} later than drain_ms after it from hosts in touch '
        f'{by_host}, the last {last_s:.2f} s after it'
    )
    record.write('total', text)
    print(text)
    if not before or statuses.count(200) < 0.8 * len(statuses):
        return 2
    return int(bool(late))


if __name__ == '__main__':
    try:
        sys.exit(main())
    except Exception as error:
        print('the case could not run:', repr(error))
        sys.exit(2)
