"""What ends a command early, each with its exit code."""

BAD_RESULT = 1
FINDINGS = 3
REFUSED = 4
NOT_REACHED = 5


class CommandError(Exception):
    """Ends the command with ``code``; its text goes to standard error."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code
