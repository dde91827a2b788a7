"""The quick start: two failure domains with three entry hosts each.

Exits with 0 only if every check of the callers' responses passes.
"""

import json
import signal
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from standins.client import Answer, request
from standins.deployment import Deployment, Host, Shape
from standins.documents import RANKS, demo_document

MODELS = 35
ADAPTERS = 95
STREAMS = 24
READY_TIMEOUT_S = 30.0


class Check(NamedTuple):
    """The result of one check, as printed."""

    what: str
    ok: bool
    seen: str


def main() -> int:
    """Runs the demo; returns the exit status."""
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="acaciaspoke-demo-") as folder:
        with Deployment(Shape(), Path(folder)) as deployment:
            print(f"{len(deployment.processes)} processes run")
            checks = list(_run(deployment))
            checks += _stop_all(deployment)
    failed = [check for check in checks if not check.ok]
    for check in checks:
        print(f"{'ok  ' if check.ok else 'FAIL'} {check.what}: {check.seen}")
    elapsed_s = time.monotonic() - started_s
    print(
        f"{len(checks) - len(failed)} of {len(checks)} as they must be,"
        f" {elapsed_s:.0f} s"
    )
    return 1 if failed else 0


def _run(deployment: Deployment) -> Iterator[Check]:
    yield _apply_configuration(deployment)
    for host in deployment.hosts:
        deployment.wait_for(host.listen, "/readyz", f"entry {host.name}")
    yield _every_model_answers(deployment)
    yield from _stream_all_ranks(deployment)
    yield from _book_once_in_two_domains(deployment)
    yield _bad_patch(deployment)
    status = deployment.run_command("status")
    yield Check("status names the lease holders", "lease" in status, "printed")
    burn = deployment.run_command("report", "burn")
    yield Check("burn report", "drafting" in burn, "printed")
    print(status)
    print(burn)


def _apply_configuration(deployment: Deployment) -> Check:
    document = demo_document(deployment.upstreams, MODELS, ADAPTERS)
    output = deployment.run_command(
        "config", "patch", "-", "--base-version", "0", text=json.dumps(document)
    )
    waited = deployment.run_command("config", "wait", "1")
    return Check(
        f"configuration of {MODELS} models and {ADAPTERS} adapters",
        output.strip() == "version 1",
        waited.strip(),
    )


def _every_model_answers(deployment: Deployment) -> Check:
    names = [f"model-{n:02}" for n in range(MODELS)]
    names += [f"adapter-{n:02}" for n in range(ADAPTERS)]
    hosts = deployment.hosts

    def ask(index: int) -> bool:
        host = hosts[index % len(hosts)]
        text = f"hello from caller {index}"
        answer = _chat(host, names[index], text, RANKS[1], timeout_ms=30000)
        return (
            answer is not None
            and answer.status == 200
            and text in _content(answer)
        )

    with ThreadPoolExecutor(16) as pool:
        reached = sum(pool.map(ask, range(len(names))))
    return Check(
        "each model and adapter answers",
        reached == len(names),
        f"{reached} of {len(names)}",
    )


def _stream_all_ranks(deployment: Deployment) -> Iterator[Check]:
    """Streams through all hosts, and kills the entry process of one."""
    killed, *others = deployment.hosts
    with ThreadPoolExecutor(STREAMS + 4) as pool:
        interrupted = [
            pool.submit(_chat, killed, "model-00", f"lost {n}", RANKS[2], 2000)
            for n in range(4)
        ]
        streams = [
            pool.submit(
                _stream,
                others[n % len(others)],
                f"model-{n:02}",
                f"caller {n}",
                RANKS[n % len(RANKS)],
            )
            for n in range(STREAMS)
        ]
        time.sleep(0.3)
        deployment.stop(f"entry {killed.name}", signal.SIGKILL)
        complete = sum(stream.result() for stream in streams)
        cut = [answer.result() for answer in interrupted]
    yield Check(
        "streams of all ranks through the other hosts are whole",
        complete == STREAMS,
        f"{complete} of {STREAMS}",
    )
    broken = sum(answer is None or not answer.complete for answer in cut)
    yield Check(
        "callers of the killed process see a broken answer, never a whole one",
        broken == len(cut),
        f"{broken} of {len(cut)}",
    )
    deployment.start_entry(killed)
    deployment.wait_for(killed.listen, "/readyz", f"entry {killed.name}")
    answer = _chat(killed, "model-00", "back again", RANKS[0], 4)
    yield Check(
        "the killed process serves again after its start",
        answer is not None and answer.status == 200,
        str(answer and answer.status),
    )


def _book_once_in_two_domains(deployment: Deployment) -> Iterator[Check]:
    """Sends one booking through two failure domains at the same time."""
    first, last = deployment.hosts[0], deployment.hosts[-1]
    with ThreadPoolExecutor(2) as pool:
        at_once = list(pool.map(_book, (first, last)))
    repeated = _book(last)
    runs = 0
    for upstream in deployment.upstreams.values():
        if upstream["service"] == "bookings":
            answer = request(upstream["address"], "GET", "/standin/runs")
            runs += json.loads(answer.body).get("demo-booking", 0)
    statuses = sorted(answer.status for answer in at_once)
    yield Check("the booking ran once", runs == 1, f"{runs} run")
    yield Check(
        "both callers of the booking know its fate",
        statuses in ([200, 200], [200, 409]),
        str(statuses),
    )
    yield Check(
        "a repeated booking gets the kept answer",
        repeated.headers.get("idempotency-replayed") == "true",
        str(repeated.status),
    )


def _bad_patch(deployment: Deployment) -> Check:
    patch = {"models": {"model-00": {"service": "nowhere"}}}
    try:
        deployment.run_command(
            "config",
            "patch",
            "-",
            "--base-version",
            "1",
            text=json.dumps(patch),
        )
    except RuntimeError as error:
        named = "models.model-00.service" in str(error)
        return Check("a bad patch is refused with its field", named, "refused")
    return Check("a bad patch is refused with its field", False, "accepted")


def _stop_all(deployment: Deployment) -> Iterator[Check]:
    names = [n for n in deployment.processes if n.startswith("entry ")]
    names += [n for n in deployment.processes if n.startswith("control ")]
    with ThreadPoolExecutor(len(names)) as pool:
        statuses = list(pool.map(deployment.stop, names))
    clean = statuses.count(0)
    yield Check(
        "all processes stop by themselves on SIGTERM",
        clean == len(names),
        f"{clean} of {len(names)}",
    )


def _chat(
    host: Host, model: str, text: str, rank: str, tokens=8, timeout_ms=20000
) -> Answer | None:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
    }
    return request(
        host.listen,
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        {"x-rank": rank, "x-deadline-ms": str(timeout_ms)},
    )


def _content(answer: Answer) -> str:
    return json.loads(answer.body)["choices"][0]["message"]["content"]


def _stream(host: Host, model: str, text: str, rank: str) -> bool:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 100,
        "stream": True,
    }
    answer = request(
        host.listen,
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        {"x-rank": rank},
    )
    return (
        answer is not None
        and answer.status == 200
        and answer.complete
        and answer.body.endswith(b"data: [DONE]\n\n")
        and json.dumps(text).encode() in answer.body
    )


def _book(host: Host) -> Answer:
    return request(
        host.listen,
        "POST",
        "/v1/services/bookings/bookings",
        b'{"room": 4}',
        {"idempotency-key": "demo-booking", "x-rank": RANKS[0]},
    )


if __name__ == "__main__":
    sys.exit(main())
