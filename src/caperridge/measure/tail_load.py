"""The online load and the runners that the arms of ``online-tail`` have in common."""

from caperridge.measure.load import LoadShape
from caperridge.records import Record
from caperridge.standins.engine_model import EngineCosts, prompt_tokens

# A decode step is bound by reading the weights; each stream adds half a hundredth.
# Steps are long, so that what this process itself needs for 48 streams stays small.
COSTS = EngineCosts(step_s=0.040, sequence_s=0.0002, prefill_s=0.00005, most_running=24)
ENGINES = 2
BURST_EVERY_S = 2.5
BURST_S = 1.0


class OnlineMix(Record):
    """What online callers ask for.

    Attributes:
        requests_per_s: between bursts, over all runners.
        least_tokens: shortest answer.
        most_tokens: longest answer.
        prompt_characters: of each prompt, online and batch.
    """

    __slots__ = ("least_tokens", "most_tokens", "prompt_characters", "requests_per_s")

    def __init__(
        self,
        requests_per_s: float,
        least_tokens: int,
        most_tokens: int,
        prompt_characters: int,
    ) -> None:
        self.requests_per_s = requests_per_s
        self.least_tokens = least_tokens
        self.most_tokens = most_tokens
        self.prompt_characters = prompt_characters

    def load(self, seconds: float, engines: int = ENGINES) -> LoadShape:
        """Return the load on so many of the runners."""
        return LoadShape(
            seconds,
            self.requests_per_s * engines / ENGINES,
            burst_every_s=BURST_EVERY_S,
            burst_s=BURST_S,
            prompt_characters=self.prompt_characters,
            least_tokens=self.least_tokens,
            most_tokens=self.most_tokens,
        )

    def idle_tokens(
        self, engines: int, seconds: float, answers: int, items: float, tokens: int
    ) -> float:
        """Return the batch tokens that full engines could have made beside online.

        Args:
            engines: how many.
            seconds: how long.
            answers: online requests answered.
            items: batch items done, each prefilled once.
            tokens: made for online requests.
        """
        full = COSTS.most_running
        prompt = prompt_tokens("?" * self.prompt_characters)
        prefill_s = (answers + items) * prompt * COSTS.prefill_s
        best_per_s = full / (COSTS.step_s + COSTS.sequence_s * full)
        return best_per_s * (engines * seconds - prefill_s) - tokens


LONG_ANSWERS = OnlineMix(7.5, 8, 24, 200)
# The percentiles of a short arm rest on twice as many requests.
SHORT_ANSWERS = OnlineMix(15.0, 4, 12, 100)
