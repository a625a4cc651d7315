"""Batching: merges the online counts that are queued for one peer into one message.

A busy instance resends its counts each second. A count is a few bytes, so in separate
messages most of the bytes would be field names.
"""

from caperridge.peers.messages import OnlineCounts, OnlineNews
from caperridge.records import Record


def batch_online_counts(messages: list[Record], own: str) -> list[Record]:
    """Return ``messages`` with the online counts of each instance in one message.

    Args:
        messages: queued for one peer.
        own: id of the sending instance.
    """
    batched: list[Record] = []
    counts_by_instance: dict[str, OnlineCounts] = {}
    last_sequence_by_instance: dict[str, int] = {}
    for message in messages:
        if not isinstance(message, OnlineNews):
            batched.append(message)
            continue
        instance = message.instance
        counts = counts_by_instance.get(instance)
        if counts is None:
            counts = OnlineCounts([], "" if instance == own else instance)
            counts_by_instance[instance] = counts
            batched.append(counts)
        step = message.sequence - last_sequence_by_instance.get(instance, 0)
        last_sequence_by_instance[instance] = message.sequence
        counts.counts.append([message.target, message.in_flight, step])
    return batched


def split_online_counts(message: OnlineCounts, sender: str) -> list[OnlineNews]:
    """Return the :class:`OnlineNews` that ``message`` from ``sender`` contains.

    Raises:
        ValueError: a count does not have three parts.
        TypeError: a sequence is not a number.

    >>> updates = [OnlineNews("e-1", "r-1", 2, 70), OnlineNews("e-1", "r-2", 1, 71)]
    >>> split_online_counts(batch_online_counts(updates, "e-1")[0], "e-1") == updates
    True
    """
    instance = message.instance or sender
    updates: list[OnlineNews] = []
    sequence = 0
    for target, in_flight, step in message.counts:
        sequence += step
        updates.append(OnlineNews(instance, target, in_flight, sequence))
    return updates
