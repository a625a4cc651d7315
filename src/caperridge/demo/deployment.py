"""What the demo serves: its zones, callers, declarations and prompts."""

from caperridge.keys import token_digest

ZONES = ("santander", "oviedo", "bilbao")
RUNNERS_A_ZONE = 2
SERVICE = "language"
BILLING = "billing"
OPERATOR = "demo-operator"
HEAT = "demo-heat"
FRAMES = "demo-frames"
POISON = "[[never-done]]"

_DECLARATION = """
[services.language]
kind = "engine"
model = "north"
version = "{version}"
batch_weight = 0.5

[services.billing]
kind = "plain"
repeatable = false

[models.north]
gb_by_version = {{ "1" = 10.0, "2" = 10.5 }}

[callers.heat]
token_sha256 = "{heat}"

[callers.frames]
token_sha256 = "{frames}"
services = ["language"]

[operators.ana]
token_sha256 = "{operator}"
"""

_TOWNS = ("Avilés", "Getxo", "Torrelavega", "Barakaldo", "Mieres")
_GUESTS = ("grandmother Aigul", "two cousins", "uncle Daulet", "the newborn")


def declaration(version: str) -> str:
    """Return the declaration with ``version`` of the model in it."""
    return _DECLARATION.format(
        version=version,
        heat=token_digest(HEAT),
        frames=token_digest(FRAMES),
        operator=token_digest(OPERATOR),
    )


def alarm(number: int) -> str:
    """Return a plant operator's question."""
    town = _TOWNS[number % len(_TOWNS)]
    return f"Substation {number} in {town}: return line at 71 C. What do I check?"


def caption(number: int) -> str:
    """Return a phone's wish for a caption."""
    guest = _GUESTS[number % len(_GUESTS)]
    return f"One warm caption for photo {number}: {guest} by the lake."


def maintenance_log(number: int) -> str:
    """Return a maintenance log that wants a summary; some can never be done."""
    if number % 200 == 77:
        return f"{POISON} log {number} is a torn page"
    return f"Summarise for the morning crew: log {number}, pump P-{number % 9} hums."


def album_story(number: int) -> str:
    """Return a week of a family that wants a story."""
    return f"The weekly story of family {number}: {number % 30 + 3} photos, one cake."
