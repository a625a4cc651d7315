"""News of online load to one peer, gathered into one message.

A busy instance repeats its counts each second and each of them is a few bytes, so most
of what it would send is names of fields.
"""

from caperridge.peers.messages import OnlineCounts, OnlineNews
from caperridge.records import Record


def gather(messages: list[Record], own: str) -> list[Record]:
    """Return ``messages`` with the online news of each sender in one message.

    Args:
        messages: what waits for one peer.
        own: id of the instance that sends them.
    """
    gathered: list[Record] = []
    counts_by_instance: dict[str, OnlineCounts] = {}
    last_by_instance: dict[str, int] = {}
    for message in messages:
        if not isinstance(message, OnlineNews):
            gathered.append(message)
            continue
        instance = message.instance
        counts = counts_by_instance.get(instance)
        if counts is None:
            counts = OnlineCounts([], "" if instance == own else instance)
            counts_by_instance[instance] = counts
            gathered.append(counts)
        step = message.sequence - last_by_instance.get(instance, 0)
        last_by_instance[instance] = message.sequence
        counts.counts.append([message.target, message.in_flight, step])
    return gathered


def scatter(message: OnlineCounts, sender: str) -> list[OnlineNews]:
    """Return the news that ``message``, which came from ``sender``, holds.

    Raises:
        ValueError: a count has not three parts.
        TypeError: a sequence is no number.

    >>> news = [OnlineNews("e-1", "r-1", 2, 70), OnlineNews("e-1", "r-2", 1, 71)]
    >>> scatter(gather(news, "e-1")[0], "e-1") == news
    True
    """
    instance = message.instance or sender
    news: list[OnlineNews] = []
    sequence = 0
    for target, in_flight, step in message.counts:
        sequence += step
        news.append(OnlineNews(instance, target, in_flight, sequence))
    return news
