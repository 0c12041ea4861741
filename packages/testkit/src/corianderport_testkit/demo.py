"""corianderport_testkit.demo

Runs a complete deployment through the loss of a host and of a data centre.
"""

import collections
import itertools
import sys
import time

import fire

from corianderport_testkit.process import fleet
from corianderport_testkit.process import served_deployment
from corianderport_testkit.version import deployments
from corianderport_tier import errors

__all__ = ['main', 'run']

_QUERIES = ('juggling clubs', 'painted stilts', 'rings Surat')
_READY_TIMEOUT_S = 15.0
_LOAD_PHASE_S = 3.0
# Time allowed for a published version to reach every host.
_PROPAGATION_S = 1.5
# How often a served description is read again to find changes.
_REFRESH_INTERVAL_S = 0.5


def _wait_ready(running: fleet.Fleet) -> None:
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    for name in running.hosts:
        while running.search(name, 'stilts').body['code'] != 0:
            if time.monotonic() > deadline_s:
                raise RuntimeError(f'{name} is not ready')
            time.sleep(0.1)


def _run_load_phase(running: fleet.Fleet, title: str) -> bool:
    """Search each host in turn for a fixed time and print statistics.

    :return: whether every search got a complete or a partial answer.
    """
    codes: collections.Counter[str] = collections.Counter()
    coverage = []
    latency_ms = []
    deadline_s = time.monotonic() + _LOAD_PHASE_S
    calls = itertools.cycle(itertools.product(_QUERIES, list(running.hosts)))
    while time.monotonic() < deadline_s:
        query, name = next(calls)
        started_s = time.monotonic()
        reply = running.search(name, query)
        latency_ms.append((time.monotonic() - started_s) * 1e3)
        codes[reply.body['name']] += 1
        coverage.append(reply.body['coverage']['fraction'])
    print(
        f'{title}: {sum(codes.values())} searches, {dict(codes)}, '
        f'coverage {min(coverage):.0%} to {max(coverage):.0%}, '
        f'median {sorted(latency_ms)[len(latency_ms) // 2]:.1f} ms'
    )
    return set(codes) <= {'OK', 'PARTIAL'}


def run(source: str = '', serve_s: float = 600.0) -> None:
    """Run the demo, or serve a deployment description.

    The demo exits with status 0 if every search was answered and no search
    reached the data centre that was out of service.

    :param source: file with a deployment description to serve instead, such
        as a copy of an example with addresses on the loopback network; each
        saved change is published.
    :param serve_s: how long to serve the description, in seconds.
    """
    if source:
        _serve(str(source), float(serve_s))
        return
    deployment = deployments.Deployment(services=6, shards=2, documents=1200)
    with fleet.Fleet(deployment) as running:
        _wait_ready(running)
        answered = [_run_load_phase(running, 'six hosts')]
        hits = running.search('host-0', _QUERIES[0], limit=3).body['hits']
        for hit in hits:
            print(f'  {hit["document"]} {hit["score"]:.3f} {hit["title"]}')
        running.kill('host-5')
        answered.append(_run_load_phase(running, 'host-5 killed'))
        running.publish(out_of_service={'dc-b'})
        time.sleep(_PROPAGATION_S)
        count_before = _search_count(running, 'dc-b')
        answered.append(_run_load_phase(running, 'dc-b taken out'))
        late_count = _search_count(running, 'dc-b') - count_before
        print(f'searches at dc-b after it was taken out: {late_count}')
        running.publish()
        time.sleep(_PROPAGATION_S)
        answered.append(_run_load_phase(running, 'dc-b back'))
    sys.exit(0 if all(answered) and late_count == 0 else 1)


def _serve(source: str, serve_s: float) -> None:
    deadline_s = time.monotonic() + serve_s
    with served_deployment.ServedDeployment(source) as served:
        print(f'platform {served.platform.address}')
        for host in served.hosts:
            print(host, flush=True)
        print('ready' if served.wait_ready() else 'not ready', flush=True)
        while time.monotonic() < deadline_s:
            time.sleep(_REFRESH_INTERVAL_S)
            for host in served.replace_exited():
                print(f'replaced: {host}', flush=True)
            try:
                version = served.refresh()
            except errors.CorianderportError as error:
                print(f'not published: {error}', flush=True)
                continue
            if version:
                print(f'version {version} published', flush=True)


def main() -> None:
    """Parse the flags and run the demo."""
    fire.Fire(run)


def _search_count(running: fleet.Fleet, data_centre: str) -> int:
    """Return how many searches a data centre's searchers have accepted."""
    names = running.deployment.searcher_names(data_centre)
    return sum(int(running.record(name)['searches']) for name in names)


if __name__ == '__main__':
    main()
