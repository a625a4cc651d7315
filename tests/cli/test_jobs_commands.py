"""Jobs and files from the command line, and what a person may get wrong."""

import asyncio
import json
import signal
from pathlib import Path

import pytest

from caperridge.standins.engine import POISON
from caperridge.standins.engine_model import answer_text
from cli.conftest import Run, Start, end_of
from conftest import Fleet, until

NOWHERE = "http://127.0.0.1:9"


def items(path: Path, count: int, poison: int = -1, tokens: int = 2) -> str:
    lines = []
    for number in range(count):
        prompt = POISON if number == poison else f"log {number}"
        body = {"model": "chat", "prompt": prompt, "max_tokens": tokens}
        item = {"custom_id": f"i{number}", "url": "/v1/completions", "body": body}
        lines.append(json.dumps(item))
    path.write_text("\n".join(lines))
    return str(path)


async def test_a_job_is_followed_to_its_end_and_read(
    run: Run, as_caller: dict[str, str], tmp_path: Path
) -> None:
    file = items(tmp_path / "logs.jsonl", 12, poison=5)
    submit = ["jobs", "submit", file, "--endpoint", "/v1/completions", "--wait"]
    ended = await run(*submit, "--json", **as_caller)
    job = json.loads(ended.out)
    # An item failed, and the code says so.
    assert (ended.code, job["status"]) == (1, "completed")
    assert job["request_counts"] == {"total": 12, "completed": 11, "failed": 1}
    assert "is accepted" in ended.err

    ended = await run("jobs", "results", job["id"], **as_caller)
    results = [json.loads(line) for line in ended.out.splitlines()]
    assert [r["custom_id"] for r in results] == [f"i{n}" for n in range(12) if n != 5]
    text = results[0]["response"]["body"]["choices"][0]["text"]
    assert text == answer_text("log 0", 2)

    out = tmp_path / "errors.jsonl"
    arguments = ["--errors", "--out", str(out)]
    await run("jobs", "results", job["id"], *arguments, **as_caller)
    assert json.loads(out.read_text())["custom_id"] == "i5"


async def test_a_job_sent_again_with_its_key_is_the_same_job(
    run_here: Run, as_caller: dict[str, str], tmp_path: Path
) -> None:
    file = items(tmp_path / "logs.jsonl", 3)
    stored = json.loads(
        (await run_here("files", "upload", file, "--json", **as_caller)).out
    )
    submit = ["jobs", "submit", "--file-id", stored["id"], "--key", "k", "--json"]
    ids = {
        json.loads((await run_here(*submit, **as_caller)).out)["id"] for _ in range(2)
    }
    assert len(ids) == 1


async def test_ctrl_c_while_waiting_says_that_the_job_goes_on(
    start: Start, run: Run, fleet: Fleet, as_caller: dict[str, str], tmp_path: Path
) -> None:
    for engine in fleet.engines_by_id.values():
        engine.faults.hung = True
    file = items(tmp_path / "logs.jsonl", 3)
    submit = ["jobs", "submit", file, "--endpoint", "/v1/completions", "--wait"]
    process = await start(*submit, **as_caller)
    assert process.stderr is not None
    accepted = (await process.stderr.readline()).decode()
    await process.stderr.readline()
    process.send_signal(signal.SIGINT)
    ended = await end_of(process)
    assert ended.code == 130
    job_id = accepted.split()[0]
    assert f"the job goes on; see it with: jobs status {job_id}" in ended.err

    ended = await run("jobs", "cancel", job_id, **as_caller)
    assert ended.out.startswith(f"{job_id}: cancelled")
    assert (await run("jobs", "status", job_id, **as_caller)).code == 1


async def test_submit_outlasts_a_short_outage_of_the_platform(
    run_here: Run, fleet: Fleet, as_caller: dict[str, str], tmp_path: Path
) -> None:
    file = items(tmp_path / "logs.jsonl", 3)
    stored = json.loads(
        (await run_here("files", "upload", file, "--json", **as_caller)).out
    )
    fleet.memory.faults.outage = True
    calls = fleet.memory.counters.calls
    submit = run_here(
        "jobs", "submit", "--file-id", stored["id"], "--json", **as_caller
    )
    pending = asyncio.ensure_future(submit)
    await until(lambda: fleet.memory.counters.calls > calls + 5)
    fleet.memory.faults.outage = False
    assert (await pending).code == 0


WRONG = [
    (["jobs", "status", "batch_none"], {}, 4, "job_not_found"),
    (["jobs", "status", "../../state"], {}, 3, "is no id of a job"),
    (["jobs", "status", "batch_x"], {"CAPERRIDGE_TOKEN": "wrong"}, 4, "unauthorized"),
    (["jobs", "status", "batch_x"], {"CAPERRIDGE_CALLERS": NOWHERE}, 5, "not reached"),
    (["jobs", "status", "batch_x"], {"CAPERRIDGE_CALLERS": "nonsense"}, 3, "is no URL"),
    (["jobs", "submit", "absent.jsonl"], {}, 3, "No such file"),
    (["jobs", "submit", "/"], {}, 3, "Is a directory"),
    (["jobs", "submit", "/dev/null"], {}, 3, "holds no item"),
    (["jobs", "submit"], {}, 3, "either a FILE or --file-id"),
    (["jobs", "submit", "--file-id", "file-none"], {}, 4, "file_not_found"),
    (["standin", "engine", "--listen", "nine"], {}, 3, "must be host:port"),
    (["jobs", "submti"], {}, 2, "submti"),
    (["measure", "nothing"], {}, 2, "No such command 'nothing'"),
    (["check", "--settings", "absent.toml"], {}, 3, "absent.toml: No such file"),
]


@pytest.mark.parametrize(("arguments", "variables", "code", "text"), WRONG)
async def test_a_mistake_is_named_with_its_code(
    run_here: Run,
    as_caller: dict[str, str],
    arguments: list[str],
    variables: dict[str, str],
    code: int,
    text: str,
) -> None:
    ended = await run_here(*arguments, **(as_caller | variables))
    assert (ended.code, ended.out) == (code, "")
    assert text in ended.err


async def test_bad_items_are_reported_all_at_once(
    run_here: Run, as_caller: dict[str, str], tmp_path: Path
) -> None:
    file = tmp_path / "bad.jsonl"
    file.write_text('{"custom_id": "a"}\nnonsense\n')
    ended = await run_here("files", "upload", str(file), **as_caller)
    assert ended.code == 4
    assert "line 1: body must be an object" in ended.err
    assert "line 2: is not JSON" in ended.err
