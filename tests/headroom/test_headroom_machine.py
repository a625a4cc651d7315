"""Property-based test of headroom and preemption against a simple oracle."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from caperridge.decisions.headroom import SETTLE_S, Headroom
from caperridge.decisions.online_counts import COUNT_TTL_S
from caperridge.decisions.preemption import PROTECTION_THRESHOLD, BatchStream

TARGET = "runner-1"
OWN = "entry-1"
PEERS = ("entry-2", "entry-3")
LONG_AGO = -1000.0


class OnlineUpdate:
    """One message of a peer in transit; it may be lost, late or duplicated."""

    def __init__(self, sender: str, in_flight: int, sequence: int) -> None:
        self.sender = sender
        self.in_flight = in_flight
        self.sequence = sequence


class HeadroomMachine(RuleBasedStateMachine):
    """One target, its dispatcher, and online senders with an unreliable network."""

    @initialize(
        most_running=st.integers(2, 12),
        weight=st.sampled_from([0.0, 0.3, 0.5, 1.0]),
        alone=st.booleans(),
    )
    def begin(self, most_running: int, weight: float, alone: bool) -> None:
        self.now = 100.0
        self.most_running = most_running
        self.weight = weight
        self.headroom = Headroom()
        self.headroom.acquire_target(TARGET, self.now, alone)
        self.settled_at = self.now if alone else self.now + SETTLE_S
        self.in_flight_by_sender = dict.fromkeys((OWN, *PEERS), 0)
        self.sequence_by_sender = dict.fromkeys(PEERS, 0)
        self.in_transit: list[OnlineUpdate] = []
        # State of an ideal dispatcher: count, sequence, time of receipt.
        self.received_by_sender: dict[str, tuple[int, int, float]] = {}
        self.batch: list[BatchStream] = []
        self.started = 0

    def _change(self, sender: str, by: int) -> None:
        self.in_flight_by_sender[sender] += by
        self._send_update(sender)

    def _send_update(self, sender: str) -> None:
        in_flight = self.in_flight_by_sender[sender]
        if sender == OWN:
            self.headroom.update_online(TARGET, OWN, in_flight, self.now)
            self._preempt()
            return
        self.sequence_by_sender[sender] += 1
        update = OnlineUpdate(sender, in_flight, self.sequence_by_sender[sender])
        self.in_transit.append(update)

    def _receive(self, update: OnlineUpdate) -> None:
        last = self.received_by_sender.get(update.sender, (0, 0, LONG_AGO))
        fresh = update.sequence > last[1] or self.now - last[2] >= COUNT_TTL_S
        applied = self.headroom.update_online(
            TARGET, update.sender, update.in_flight, self.now, update.sequence
        )
        assert applied == fresh
        if fresh:
            received = (update.in_flight, update.sequence, self.now)
            self.received_by_sender[update.sender] = received
        self._preempt()

    def _oracle_online(self) -> int:
        total = self.in_flight_by_sender[OWN]
        for in_flight, _, received_at in self.received_by_sender.values():
            if self.now - received_at < COUNT_TTL_S:
                total += in_flight
        return total

    def _allowed(self) -> int:
        return self.headroom.allowed(TARGET, self.most_running, self.weight, self.now)

    def _preempt(self) -> None:
        victims = self.headroom.to_preempt(
            TARGET, self.most_running, self.weight, self.batch, self.now
        )
        for victim in victims:
            assert not victim.ending
            self.batch.remove(victim)
        self._check_order(victims)
        assert self._staying() <= self._allowed()

    def _staying(self) -> int:
        """Count the streams that need their slot beyond the current step."""
        return sum(not stream.ending for stream in self.batch)

    def _check_order(self, victims: list[BatchStream]) -> None:
        for victim in victims:
            for remaining in self.batch:
                if remaining.ending:
                    continue
                if victim.preemptions >= PROTECTION_THRESHOLD:
                    assert remaining.preemptions >= victim.preemptions
                elif remaining.preemptions < PROTECTION_THRESHOLD:
                    assert remaining.tokens >= victim.tokens

    @rule(sender=st.sampled_from([OWN, *PEERS]))
    def online_starts(self, sender: str) -> None:
        self._change(sender, +1)

    @rule(sender=st.sampled_from([OWN, *PEERS]))
    def online_ends(self, sender: str) -> None:
        if self.in_flight_by_sender[sender]:
            self._change(sender, -1)

    @rule(data=st.data(), again=st.booleans())
    @precondition(lambda self: self.in_transit)
    def news_arrives_in_any_order(self, data: Any, again: bool) -> None:
        update = data.draw(st.sampled_from(self.in_transit))
        if not again:
            self.in_transit.remove(update)
        self._receive(update)

    @rule()
    @precondition(lambda self: self.in_transit)
    def news_is_lost(self) -> None:
        self.in_transit.pop(0)

    @rule()
    def peers_repeat_what_is_in_flight(self) -> None:
        for sender in PEERS:
            if self.in_flight_by_sender[sender]:
                self._send_update(sender)

    @rule(sender=st.sampled_from(PEERS))
    def a_peer_is_gone(self, sender: str) -> None:
        self.in_flight_by_sender[sender] = 0
        self.headroom.remove_sender(sender)
        self.received_by_sender.pop(sender, None)
        self.in_transit = [n for n in self.in_transit if n.sender != sender]

    @rule(seconds=st.sampled_from([0.001, 0.05, 0.5, 4.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(step_s=st.sampled_from([0.01, 0.03, 0.06]), count=st.integers(1, 8))
    def steps_are_seen(self, step_s: float, count: int) -> None:
        for _ in range(count):
            self.now += step_s
            self.headroom.record_step(TARGET, len(self.batch), step_s, self.now)

    @rule(first_token_s=st.sampled_from([0.02, 0.5, 3.0]))
    def a_first_token_is_seen(self, first_token_s: float) -> None:
        self.headroom.record_first_token(TARGET, first_token_s, self.now)
        self._preempt()

    @rule(preemptions=st.integers(0, PROTECTION_THRESHOLD + 2))
    def batch_fills(self, preemptions: int) -> None:
        ending = len(self.batch) - self._staying()
        starts = self.headroom.to_start(
            TARGET, self.most_running, self.weight, len(self.batch), ending, self.now
        )
        if starts.count:
            assert self.now >= self.settled_at
        for _ in range(starts.count):
            self.started += 1
            stream = BatchStream(f"a{self.started}", TARGET, 0, preemptions)
            self.batch.append(stream)
        staying = self._staying()
        assert staying <= max(self._allowed(), staying - starts.count)

    @rule(tokens=st.integers(1, 20))
    def batch_goes_on(self, tokens: int) -> None:
        for stream in self.batch[::2]:
            stream.tokens += tokens

    @rule(data=st.data())
    @precondition(lambda self: self.batch)
    def a_stream_makes_its_last_token(self, data: Any) -> None:
        data.draw(st.sampled_from(self.batch)).ending = True

    @rule()
    def a_step_ends(self) -> None:
        self.batch = [stream for stream in self.batch if not stream.ending]

    @rule()
    def all_news_arrives(self) -> None:
        for update in sorted(self.in_transit, key=lambda n: n.sequence):
            self._receive(update)
        self.in_transit.clear()
        for sender in PEERS:
            # The last update may have been lost; a repeated one corrects that.
            self._send_update(sender)
            self._receive(self.in_transit.pop())
        online = sum(self.in_flight_by_sender.values())
        assert self.headroom.online(TARGET, self.now) == online
        assert not self._staying() or self._staying() + online <= self.most_running

    @invariant()
    def what_is_known_is_what_was_heard(self) -> None:
        assert self.headroom.online(TARGET, self.now) == self._oracle_online()

    @invariant()
    def allowed_is_within_bounds(self) -> None:
        allowed = self._allowed()
        startable = self.headroom.startable(
            TARGET, self.most_running, self.weight, self.now
        )
        assert 0 <= startable <= allowed <= self.most_running
        assert allowed == 0 or allowed + self._oracle_online() <= self.most_running


TestHeadroom = HeadroomMachine.TestCase
TestHeadroom.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True
)
