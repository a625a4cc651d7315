"""Many callers at once, and engines that answer late or with another's text."""

import asyncio
from collections import Counter

from caperridge.standins.engine_model import answer_text
from promises.conftest import Fleet

CALLERS = 60
TOKENS = 12


async def test_nobody_gets_the_answer_of_another(fleet: Fleet) -> None:
    crossing, late = fleet.engines_by_id.values()
    late.faults.late_s = 0.1
    fleet.slow(2.0)
    asked = [
        asyncio.ensure_future(
            fleet.complete(f"entry-{number % 3 + 1}", f"alarm {number}?", TOKENS)
        )
        for number in range(CALLERS)
    ]
    # It begins to cross in the middle of answers.
    while not crossing.tokens_produced:
        await asyncio.sleep(0.001)
    crossing.faults.cross = True
    answers = await asyncio.gather(*asked, return_exceptions=True)
    for number, answer in enumerate(answers):
        assert answer == answer_text(f"alarm {number}?", TOKENS)


async def test_a_caller_of_a_plain_service_gets_its_own_answer(fleet: Fleet) -> None:
    first, second = fleet.standins.plain_by_id.values()
    first.faults.late_s, second.faults.late_s = 0.1, 0.0

    async def check(number: int) -> tuple[int, str]:
        path = f"/services/billing/bill-{number}"
        key = {"Idempotency-Key": f"k{number}"}
        status, answer = await fleet.ask(
            f"entry-{number % 3 + 1}", path, {"household": number}, **key
        )
        return status, answer["body"]

    answers = await asyncio.gather(*map(check, range(CALLERS)))
    assert answers == [(200, f'{{"household": {n}}}') for n in range(CALLERS)]
    runs: Counter[str] = Counter()
    for service in (first, second):
        runs.update(service.runs_by_key)
    assert runs == Counter(f"k{number}" for number in range(CALLERS))
