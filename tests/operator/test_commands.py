"""Tests of the output and the exit codes of the commands."""

import collections.abc
import json
import os
import pathlib
import subprocess
import sys

import pytest

from corianderport_operator import main
from corianderport_testkit.process import platform
from corianderport_tier import clocks
from corianderport_tier import errors
from corianderport_tier.process import administration
from corianderport_tier.process import decision_log
from corianderport_tier.process import membership
from corianderport_tier.process import metrics
from corianderport_tier.process import ticket_table
from corianderport_tier.request import messages
from corianderport_tier import result_codes
from corianderport_wire.connection import http_server
from corianderport_wire.request import admin_app
from corianderport_wire.request import caller_app

# MORE is replaced by further statements about `described`, the Deployment.
_SCRIPT = """
from corianderport_operator.version import builder


def describe():
    described = builder.Deployment(version=VERSION, region='west')
    described.data_centre('dc-a')
    described.data_centre('dc-b')
    for number, name in enumerate(('s', 't', 'spare')):
        described.service(
            name,
            {
                'dc-a': [f'127.0.0.1:{700 + number}'],
                'dc-b': [f'127.0.0.1:{800 + number}'],
            },
            slots=SLOTS,
            connections=25,
        )
    described.snapshot('i', 3, builder.even_shards(['s', 't'], 1, 10))
    described.search('q', index='i', spans=['s', 't'], deadline_ms=100)
    described.action('act', service='spare', deadline_ms=50)
    described.customer('default', share=SHARE)
    MORE
    return described
"""


def _write_script(
    folder: pathlib.Path,
    name: str = 'd.py',
    version: int = 1,
    slots: str = '2',
    share: float = 1.0,
    more: str = 'pass',
) -> str:
    path = folder / name
    path.write_text(
        _SCRIPT.replace('VERSION', str(version))
        .replace('SLOTS', slots)
        .replace('SHARE', str(share))
        .replace('MORE', more)
    )
    return str(path)


def _run_command(*arguments: str) -> int:
    """Run a command and return its exit code."""
    try:
        main.main(arguments)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else 1
    return 0


Capture = pytest.CaptureFixture[str]


def test_print_is_read_back(tmp_path: pathlib.Path, capsys: Capture) -> None:
    """Guards against printed documents that the commands cannot load.

    Printing and loading use different code, and the document of a script
    must also be the same as the one printed from its own output.
    """
    script = _write_script(tmp_path)
    assert _run_command('print', script) == 0
    text = capsys.readouterr().out
    document = str(tmp_path / 'd.json')
    assert _run_command('print', script, '--output_file', document) == 0
    assert pathlib.Path(document).read_text() == text
    assert _run_command('print', document) == 0
    assert capsys.readouterr().out == text
    assert _run_command('diff', script, document) == 0
    assert capsys.readouterr().out == 'no difference\n'


@pytest.mark.parametrize(
    ('changes', 'code', 'text'),
    [
        ({}, 0, '0 faults, 0 warnings'),
        ({'slots': '0'}, 1, 'slots: 0 is less than 1'),
        ({'share': 1.5}, 1, 'F12'),
        ({'more': "described.out_of_service('dc-a', 'dc-b')"}, 0, 'W01'),
    ],
)
def test_check_lists_findings(
    changes: dict[str, str],
    code: int,
    text: str,
    tmp_path: pathlib.Path,
    capsys: Capture,
) -> None:
    """Guards against faults that only the hosts detect.

    A document that ``check`` accepts and ``print`` writes is published, and
    hosts then keep their old configuration because they refuse it.
    """
    script = _write_script(tmp_path, **changes)  # type: ignore[arg-type]
    assert _run_command('check', script) == code
    assert text in capsys.readouterr().out
    assert _run_command('check', script, '--json') == code
    assert json.loads(capsys.readouterr().out)['accepted'] is (code == 0)
    assert _run_command('print', script) == code


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        (
            {'more': "described.out_of_service('dc-b')"},
            [
                'data centre dc-b: taken out of service; 3 searchers get no '
                'requests (for action act, search q)'
            ],
        ),
        (
            {'more': "described.out_of_service('s-dc-a-1', 's-dc-b-1')"},
            [
                'service s, searcher s-dc-a-1: taken out of service (for '
                'search q)',
                'service s, searcher s-dc-b-1: taken out of service (for '
                'search q)',
                'service s: no searcher is left in service; its shards will '
                'be missing (for search q)',
            ],
        ),
        (
            {'slots': '3 if name == "spare" else 2'},
            ['service spare: slots: 2 becomes 3 (for action act)'],
        ),
        (
            {'share': 0.5},
            ['customer default: share: 1 becomes 0.5 (for customer default)'],
        ),
        (
            {
                'more': "described.snapshot('i', 4, "
                "builder.even_shards(['s', 't'], 2, 12))"
            },
            [
                'index i, snapshot 4: published: 4 shards, 12 documents '
                '(for search q)'
            ],
        ),
        (
            {
                'more': "described.search('new', index='i', spans=['s'], "
                'deadline_ms=5)'
            },
            ['search new: offered from now on (for search new)'],
        ),
    ],
)
def test_diff_describes_changes_and_affected_users(
    changes: dict[str, str],
    expected: list[str],
    tmp_path: pathlib.Path,
    capsys: Capture,
) -> None:
    """Guards against changes without a description or affected users.

    Each kind of entity is compared by a function of its own; a field that
    it leaves out changes without a line in the output.
    """
    old = _write_script(tmp_path, 'old.py')
    new = _write_script(
        tmp_path,
        'new.py',
        version=2,
        **changes,  # type: ignore[arg-type]
    )
    assert _run_command('diff', old, new) == 1
    assert capsys.readouterr().out.splitlines() == expected


def test_diff_warns_of_version_that_is_not_newer(
    tmp_path: pathlib.Path, capsys: Capture
) -> None:
    """Guards against publishing a configuration that every host refuses.

    This happens when a script is edited without increasing its version.
    """
    old = _write_script(tmp_path, 'old.py')
    assert (
        _run_command('diff', old, _write_script(tmp_path, 'new.py', share=0.5))
        == 1
    )
    assert '1 is not newer than 1' in capsys.readouterr().out


def test_explain_names_use_and_reasons(
    tmp_path: pathlib.Path, capsys: Capture
) -> None:
    """Guards against missing shards without a reason.

    A searcher may be out of service itself or because of its data centre,
    and a service may not be part of the search at all.
    """
    more = "described.out_of_service('dc-a', 's-dc-b-1')"
    script = _write_script(tmp_path, more=more)
    assert _run_command('explain', script, 'q', '--json') == 1
    explained = json.loads(capsys.readouterr().out)
    assert explained['expected_coverage'] == 0.5
    assert [
        (searcher['name'], searcher['why_not'])
        for service in explained['services']
        for searcher in service['searchers']
    ] == [
        ('s-dc-a-1', 'data centre dc-a is out of service'),
        ('s-dc-b-1', 'searcher s-dc-b-1 is out of service'),
        ('t-dc-a-1', 'data centre dc-a is out of service'),
        ('t-dc-b-1', ''),
    ]
    assert _run_command('explain', script, 'q') == 1
    out = capsys.readouterr().out
    assert 'expected coverage 50.0%' in out
    assert 'not asked, because the search does not span it: spare' in out


@pytest.mark.parametrize(
    ('arguments', 'code', 'text'),
    [
        (['check', 'no-such-file'], 2, "source: 'no-such-file' is not a"),
        (['check', '1'], 2, "source: '1' is not a"),
        (['explain', 'SCRIPT', 'x'], 2, "search: 'x' is not one of q"),
        (['status'], 2, 'hosts, platform: give one of them'),
        (['status', '--hosts', 'h:1'], 2, "hosts: 'h:1' is not an IP"),
        (
            ['status', '--platform=127.0.0.1:1', '--admin_port=0'],
            2,
            'admin_port: 0 is not a number from 1',
        ),
        (['search', '127.0.0.1', 'q', 'x'], 2, "host: '127.0.0.1' is not"),
        (
            ['search', '127.0.0.1:1', 'q', '7', '--limit', '0'],
            2,
            "limit: '0' is not a number from 1 to 1000",
        ),
        (['print', 'BROKEN'], 1, 'line 4: NameError'),
        (['print', 'TEXT'], 1, 'Expecting value'),
        (['print', 'SCRIPT', '--output_file=/no/x'], 2, "output_file: '/no/x"),
    ],
)
def test_user_error_is_one_line(
    arguments: list[str],
    code: int,
    text: str,
    tmp_path: pathlib.Path,
    capsys: Capture,
) -> None:
    """Guards against tracebacks where name, value and range belong.

    An exception that is not a CorianderportError, such as a NameError in a
    script or an OSError of a file, would leave the command as a traceback.
    """
    broken = tmp_path / 'broken.py'
    broken.write_text('import os\n\ndef describe():\n    return unknown\n')
    (tmp_path / 'text.json').write_text('nonsense')
    files = {
        'SCRIPT': _write_script(tmp_path),
        'BROKEN': str(broken),
        'TEXT': str(tmp_path / 'text.json'),
    }
    assert _run_command(*(files.get(a, a) for a in arguments)) == code
    captured = capsys.readouterr()
    assert captured.out == ''
    assert len(captured.err.splitlines()) == 1
    assert captured.err.startswith('corianderport: ')
    assert text in captured.err


@pytest.mark.parametrize(
    'command',
    ['print', 'check', 'diff', 'explain', 'status', 'search', 'trace'],
)
def test_help_has_an_example(command: str, capsys: Capture) -> None:
    """Guards against help without an example and exit codes.

    Fire generates the help from the docstring of the command, so what the
    docstring lacks is missing in the help.
    """
    assert _run_command(command, '--help') == 0
    captured = capsys.readouterr()
    text = captured.out + captured.err
    assert f'Example: corianderport {command} ' in text
    assert 'Exit codes: 0' in text
    assert 'FIRE' not in text


_REFUSING_VERSION = 13


class _FakeHost:
    """State of a host for its administration interface.

    Version 0 stands for a host that is stopping, and ``_REFUSING_VERSION``
    for one that refused a later document.
    """

    def __init__(self, name: str, version: int, document: str) -> None:
        self._name = name
        self._version = version
        self._document = document

    def ready(self) -> administration.ReadyView:
        if self._version:
            return administration.ReadyView(True, '')
        return administration.ReadyView(False, 'the host is stopping')

    def version(self) -> administration.VersionView:
        refused = 'F01 version' if self._version == _REFUSING_VERSION else ''
        return administration.VersionView(
            self._name, 'dc-a', self._version, refused
        )

    def peers(self) -> tuple[administration.PeerView, ...]:
        return ()

    def upstreams(self) -> tuple[administration.UpstreamView, ...]:
        return (
            administration.UpstreamView(
                's', 's-1', '127.0.0.1:1', 'dc-a', 'full', '2 of 2', 2, 2, 1.5
            ),
        )

    def decisions(self) -> tuple[decision_log.Decision, ...]:
        return ()

    def totals(self) -> metrics.Totals:
        code = result_codes.ResultCode.OVERLOADED
        return metrics.Totals({('search', code): 7}, {}, {})

    def document(self) -> bytes:
        return self._document.encode()


Serve = collections.abc.Callable[..., str]


@pytest.fixture
def serve() -> collections.abc.Iterator[Serve]:
    """Return a function that serves a fake host and returns its address."""
    servers = []

    def start(name: str, version: int, document: str = '') -> str:
        application = admin_app.AdminApp(_FakeHost(name, version, document))
        server = http_server.HttpServer('127.0.0.1', 0, application, 4, 5.0)
        server.start()
        servers.append(server)
        return server.address

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize(
    ('versions', 'code', 'text'),
    [
        ((4, 4), 0, '7 OVERLOADED'),
        ((4, 4), 0, '2 of 2'),
        ((4, 5), 1, 'problem: hosts have different versions in force: 4, 5'),
        ((4, 0), 1, 'problem: host-1: the host is stopping'),
        (
            (_REFUSING_VERSION, _REFUSING_VERSION),
            1,
            'problem: host-0: refused a configuration: F01 version',
        ),
    ],
)
def test_status_reports_problems(
    versions: tuple[int, ...],
    code: int,
    text: str,
    serve: Serve,
    capsys: Capture,
) -> None:
    """Guards against problems of a host that status does not show.

    A host that is stopping, that refused a document or that has another
    version in force than the others still answers.
    """
    hosts = [serve(f'host-{n}', v) for n, v in enumerate(versions)]
    assert _run_command('status', '--hosts', ','.join(hosts)) == code
    assert text in capsys.readouterr().out


def test_status_reads_the_host_list(serve: Serve, capsys: Capture) -> None:
    """Guards against wrong addresses for the hosts on the host list.

    The list has the ``peer_address`` of each host, whose port has to be
    replaced by that of ``admin_address``.
    """
    port = serve('host-0', 4).rpartition(':')[2]
    with platform.Platform() as fake_platform:
        fake_platform.set_host(
            membership.Member('host-0', 'dc-a', '127.0.0.1:9')
        )
        code = _run_command(
            'status', '--platform', fake_platform.address,
            '--admin_port', port, '--json',
        )  # fmt: skip
    assert code == 0
    (host,) = json.loads(capsys.readouterr().out)['hosts']
    assert (host['host'], host['version']) == ('host-0', 4)
    assert host['refusals'] == {'OVERLOADED': 7}


def test_status_names_host_that_does_not_answer(capsys: Capture) -> None:
    """Guards against an unreachable host that hides the others.

    Its TransportError must become a line of the output, as it would
    otherwise end the command before any host is shown.
    """
    assert _run_command('status', '--hosts', '127.0.0.1:1') == 1
    out = capsys.readouterr().out
    assert 'problem: 127.0.0.1:1: Failed to connect' in out


def test_closed_output_causes_no_traceback(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback when a reader such as ``head`` exits.

    Writing to the closed pipe raises BrokenPipeError, and the interpreter
    flushes standard output once more at exit.
    """
    for module in ('board', 'cooperative'):
        source = f'import corianderport_operator.examples.{module} as m'
        path = tmp_path / f'{module}.py'
        path.write_text(f'{source}\ndescribe = m.describe\n')
    command = [sys.executable, '-m', 'corianderport_operator.main', 'diff']
    read_end, write_end = os.pipe()
    os.close(read_end)
    try:
        finished = subprocess.run(
            [*command, 'board.py', 'cooperative.py'],
            cwd=tmp_path,
            env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
            stdout=write_end,
            stderr=subprocess.PIPE,
        )
    finally:
        os.close(write_end)
    assert (finished.returncode, finished.stderr) == (1, b'')


class _FakeSearchService:
    """Answers each search with the same result code."""

    def __init__(self, code: result_codes.ResultCode) -> None:
        self._code = code

    def search(self, request: messages.SearchRequest) -> messages.SearchAnswer:
        if self._code is result_codes.ResultCode.OVERLOADED:
            raise errors.Overloaded('needs 70 ms')
        missing = () if self._code == 0 else ('s-1',)
        return messages.SearchAnswer(
            self._code,
            request.request_id,
            3,
            messages.Coverage(0.5 if missing else 1.0, missing),
            (messages.Hit('item-1', 0.5, request.query),),
        )

    def issue_ticket(self) -> ticket_table.IssuedTicket:
        raise errors.NotReady('unused')

    def act(self, request: messages.ActionRequest) -> messages.ActionAnswer:
        raise errors.NotReady('unused')


@pytest.mark.parametrize(
    ('name', 'code', 'text'),
    [
        ('OK', 0, 'coverage 100.0%, missing shards: none'),
        ('PARTIAL', 0, 'coverage 50.0%, missing shards: s-1'),
        ('COVERAGE_NOT_MET', 1, 'coverage 50.0%, missing shards: s-1'),
        ('OVERLOADED', 1, 'needs 70 ms'),
    ],
)
def test_search_shows_coverage_or_reason(
    name: str, code: int, text: str, capsys: Capture
) -> None:
    """Guards against partial answers that look complete.

    An answer with missing shards has hits like any other, so the command
    has to print the coverage, and the reason if the search was refused.
    """
    application = caller_app.CallerApp(
        _FakeSearchService(result_codes.ResultCode[name]),
        clocks.SystemClock(),
        caller_app.CallerLimits(),
    )
    server = http_server.HttpServer('127.0.0.1', 0, application, 4, 5.0)
    server.start()
    try:
        exit_code = _run_command('search', server.address, 'q', '12')
        out = capsys.readouterr().out
        _run_command('search', server.address, 'q', '12', '--json')
    finally:
        server.close()
    assert exit_code == code
    assert text in out
    reply = json.loads(capsys.readouterr().out)
    assert reply['name'] == name
    # A query that looks like a number remains a string.
    assert [hit['title'] for hit in reply['hits']] in ([], ['12'])


def test_diff_loads_configuration_in_force(
    serve: Serve, tmp_path: pathlib.Path, capsys: Capture
) -> None:
    """Guards against a comparison with a version that is not in force.

    Given the address of a host, the command has to load the document from
    it instead of looking for a file of that name.
    """
    old = _write_script(tmp_path, 'old.py')
    assert _run_command('print', old) == 0
    host = serve('host-0', 1, capsys.readouterr().out)
    new = _write_script(tmp_path, 'new.py', version=2, share=0.5)
    assert _run_command('diff', host, new) == 1
    assert 'share: 1 becomes 0.5' in capsys.readouterr().out
