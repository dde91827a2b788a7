"""``acaciaspoke explain``: where a request would go now, and why."""

from collections.abc import Iterator

import anyio
import click
import msgspec

from acaciaspoke.errors import UserError
from acaciaspoke.gateway.explain.document import (
    EXPLAIN_PATH,
    CandidateFigures,
    Decision,
    ExplainError,
    ExplainRequest,
    Explanation,
)
from acaciaspoke.report.text import EMPTY_CELL, table
from acaciaspoke.util.http import HttpClient, HttpError, HttpResponse

TIMEOUT_S = 10.0

# Longest line of the table.
WIDTH = 100


@click.command()
@click.option(
    "--metrics",
    required=True,
    metavar="IP:PORT",
    help="The port for metrics of a gateway.",
)
@click.option("--host", required=True, help="The host that the caller names.")
@click.option("--path", required=True, help="The path, with the query.")
@click.option(
    "--header",
    "headers",
    multiple=True,
    metavar="'NAME: VALUE'",
    help="A header of the request; may be repeated.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(
    metrics: str,
    host: str,
    path: str,
    headers: tuple[str, ...],
    as_json: bool,
) -> None:
    """Shows where a gateway would send a request now, without sending it."""
    asked = ExplainRequest(
        host=host, path=path, headers=[_parse_header(text) for text in headers]
    )
    answer = _ask(metrics, msgspec.json.encode(asked))
    explanation = decode(metrics, answer)
    if as_json:
        encoded = msgspec.json.encode(explanation)
        click.echo(msgspec.json.format(encoded).decode())
        return
    for line in lines_of(explanation):
        click.echo(line if len(line) <= WIDTH else line[: WIDTH - 1] + "…")


def _parse_header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not (colon and name.strip()):
        # The text may be an API key, so it is not repeated.
        raise UserError("--header: not of the form 'NAME: VALUE'")
    return name.strip(), value.strip()


def _ask(metrics: str, body: bytes) -> HttpResponse:
    async def request() -> HttpResponse:
        async with HttpClient(metrics, TIMEOUT_S) as client:
            return await client.request("POST", EXPLAIN_PATH, body)

    try:
        return anyio.run(request)
    except ValueError as error:
        raise UserError(f"--metrics: {error}") from error
    except HttpError as error:
        raise UserError(f"{metrics} does not answer: {error}") from error


def decode(metrics: str, answer: HttpResponse) -> Explanation:
    """Decodes a gateway's response.

    Raises:
        UserError: If it is an error, or not an explanation.
    """
    kind = Explanation if answer.status == 200 else ExplainError
    try:
        document = msgspec.json.decode(answer.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UserError(
            f"{metrics} answered {answer.status} without an explanation: it is"
            " not the port for metrics of a gateway, or the gateway is of a"
            " release that does not know this command"
        ) from error
    if isinstance(document, ExplainError):
        raise UserError(f"{metrics} answered {answer.status}: {document.error}")
    return document


def lines_of(explanation: Explanation) -> Iterator[str]:
    """Yields the lines of the text form."""
    rows = [
        ("decision", _decision_text(explanation.decision)),
        ("host", explanation.host),
        ("configuration", _text(explanation.version)),
        ("route", _text(explanation.route)),
        ("workspace", _text(explanation.workspace)),
        ("key fingerprint", _text(explanation.key_fingerprint or None)),
        ("quota", _quota_text(explanation)),
        ("service", _text(explanation.service)),
        ("artifact", _text(explanation.artifact)),
        ("priority", _text(explanation.priority)),
        ("admission", _admission_text(explanation)),
        *(("note", note) for note in explanation.notes),
    ]
    for name, text in rows:
        yield f"{name:<16} {text}"
    if not explanation.candidates:
        return
    yield ""
    yield from table(
        (
            "rank",
            "upstream",
            "running",
            "limit",
            "slots",
            "prefill",
            "slowdown",
            "cached",
            "accepts",
            "lacks",
        ),
        map(_cells, explanation.candidates),
    ).splitlines()
    hidden = explanation.candidate_count - len(explanation.candidates)
    if hidden:
        yield f"and {hidden} more"


def _text(value: object) -> str:
    return EMPTY_CELL if value is None else str(value)


def _decision_text(decision: Decision) -> str:
    parts = [
        decision.outcome,
        _labelled("upstream", decision.upstream),
        _labelled("host", decision.host),
        _labelled("status", decision.status),
        _labelled("retry after s", decision.retry_after_s),
    ]
    text = " ".join(filter(None, parts))
    return f"{text}: {decision.reason}" if decision.reason else text


def _labelled(label: str, value: object) -> str:
    return "" if value is None else f"{label} {value}"


def _quota_text(explanation: Explanation) -> str:
    quota = explanation.quota
    if quota is None:
        return EMPTY_CELL
    return (
        f"counts as {quota.tokens} tokens of {quota.tokens_per_s:g} per s"
        f" (burst {quota.burst_tokens:g}), owner {_text(quota.owner)}"
    )


def _admission_text(explanation: Explanation) -> str:
    admission = explanation.admission
    if admission is None:
        return EMPTY_CELL
    latest_s = admission.latest_start_s
    latest = "it may not start" if latest_s is None else f"{latest_s:g} s"
    return (
        f"{admission.ahead} ahead, {admission.slots:g} slots, wait"
        f" {admission.wait_s:g} s, latest start {latest}"
    )


def _cells(candidate: CandidateFigures) -> tuple[str, ...]:
    return (
        _text(candidate.rank),
        candidate.upstream,
        str(candidate.running),
        f"{candidate.slot_limit:g}",
        str(candidate.slots),
        str(candidate.prefill_tokens),
        f"{candidate.slowdown:g}",
        f"{candidate.cached_tokens:g}",
        "yes" if candidate.accepts else "no",
        ", ".join(candidate.lacks) or EMPTY_CELL,
    )
