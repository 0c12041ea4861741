"""A second copy of a refusal is taken as the answer of the next send.

Searchers are full at times and refuse with 503 and X-Not-Executed. With
trouble, one of the two searchers of each service also sends a second, late
copy of some of these answers (garble, extra late). All copies carry the id of
their request.
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
SERVICES = 14
SECONDS = 90
PER_SECOND = 14  # requests to each service, one by one
CLUMP = 6  # requests to each service that come at once
CLUMP_EVERY_S = 1.8
WORK_S = 0.07
EXTRA_SHARE = 0.04  # of a searcher's answers, at random
EXTRA_ON_S = 5.0  # the disturbance lasts so long, and comes again
EXTRA_OFF_S = 0.5
LATE_S = (0.08, 0.14)
PAUSE = '0.08'  # Retry-After of a full searcher, seconds
REFUSALS = (429, 503)


class Garbler(standins.Searcher):
    """Sends a second copy of some answers, late."""

    refusal_headers = (('Retry-After', PAUSE),)

    copies = 0
    garbles = False
    started_s = 0.0

    def respond(self, connection, request, status, headers, body=b''):
        super().respond(connection, request, status, headers, body)
        now_s = time.monotonic() - self.started_s
        active = now_s % (EXTRA_ON_S + EXTRA_OFF_S) < EXTRA_ON_S
        if not (self.garbles and active and random.random() < EXTRA_SHARE):
            return
        self.copies += 1
        copy = self.encode(request, status, headers, body)

        def send():
            self.record.write(
                'second-copy', self.name, request.headers['x-request-id'],
                status,
            )
            try:
                connection.sendall(copy)
            except OSError:
                pass

        threading.Timer(random.uniform(*LATE_S), send).start()


def main():
    record = standins.Record(HERE / 'record.txt')
    outcomes = {}
    with standins.Deployment(HOSTS) as deployment:
        searchers = []
        started_s = time.monotonic()
        for number in range(SERVICES):
            for copy, zone in enumerate(('west-a', 'west-b')):
                searcher = Garbler(
                    f'i-{number}-{copy}', f'desk{number}', zone,
                    deployment.store, record, slots=2, waiting=0,
                    work_s=lambda: random.uniform(0.5, 1.5) * WORK_S,
                )
                searcher.started_s = started_s
                searcher.garbles = standins.TROUBLE and copy == 0
                searcher.register()
                searchers.append(searcher)
        deployment.store.put(
            'op/config',
            standins.config(
                7,
                [
                    {
                        'name': f'r{number}', 'host': 'desk.example',
                        'prefix': f'/desk{number}/', 'kind': 'non_idempotent',
                        'timeout_ms': 2000, 'goal_ms': 441, 'priority': 2,
                        'backend': f'desk{number}', 'attempts': 2,
                    }
                    for number in range(SERVICES)
                ],
                {f'desk{number}': 48 for number in range(SERVICES)},
            ),
        )
        deployment.await_ready()
        lock = threading.Lock()
        count = [0]

        def request(requester, number):
            with lock:
                count[0] += 1
                request_id = f'{count[0]:016x}'
            record.write('send', request_id, f'desk{number}')
            requester.send(
                'POST', 'desk.example', f'/desk{number}/book', request_id,
                2000, b'seat=1',
            )
            answer = requester.answer()
            status = answer[0] if isinstance(answer, tuple) else answer
            record.write('answer', request_id, status)
            outcomes[request_id] = status

        def caller(host, number, times_s):
            requester = standins.Requester(host)
            for at_s in times_s:
                time.sleep(max(0.0, at_s - (time.monotonic() - started_s)))
                try:
                    request(requester, number)
                except OSError as error:
                    record.write('no-connection', error)
                    requester.close()
            requester.close()

        def arrivals(chance, every_s):
            at_s = time.monotonic() - started_s
            times_s = []
            while (at_s := at_s + chance.expovariate(1 / every_s)) < SECONDS:
                times_s.append(at_s)
            return times_s

        threads = []
        for number in range(SERVICES):
            clumps = arrivals(random, CLUMP_EVERY_S)
            for k in range(CLUMP):
                host = deployment.hosts[k % HOSTS]
                alone = arrivals(random, CLUMP / PER_SECOND)
                for times_s in (clumps, alone):
                    threads.append(
                        threading.Thread(
                            target=caller, args=(host, number, times_s)
                        )
                    )
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(0.5)
    runs = {}
    for line in (HERE / 'record.txt').read_text().splitlines():
        fields = line.split()
        if fields[1] == 'run':
            runs.setdefault(fields[3], []).append(fields[2])
    twice = {i: s for i, s in runs.items() if len(s) > 1}
    refused = [
        i for i, s in outcomes.items() if s in REFUSALS and i in runs
    ]
    served = sum(s == 200 for s in outcomes.values())
    copies = sum(s.copies for s in searchers)
    record.write(
        'total', 'requests', len(outcomes), 'served', served, 'second-copies',
        copies, 'run-twice', len(twice), 'refused-and-run', len(refused),
    )
    print(f'{len(outcomes)} requests, {served} served, {copies} second '
          f'copies, {len(twice)} ran twice, {len(refused)} refused though run')
    for request_id, names in list(twice.items())[:5]:
        print('TWICE', request_id, *names, 'answered', outcomes[request_id])
    for request_id in refused[:5]:
        print('REFUSED', request_id, 'ran at', *runs[request_id])
    if served < len(outcomes) / 4:
        return 2
    return 1 if twice or refused else 0


if __name__ == '__main__':
    try:
        sys.exit(main())
    except Exception as error:
        print('the case could not run:', repr(error))
        sys.exit(2)
