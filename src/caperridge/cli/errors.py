"""What ends a command early, each with its exit code.

==== ======================================================================
code meaning
==== ======================================================================
0    done
1    done, with a bad result: failed items, a cancelled job, a wrong answer
2    a wrong command line
3    findings in an input: settings, declarations, a file
4    refused by the system; the reason is on standard error
5    not reached, or the connection broke
6    a stop that cut requests; the log names them
130  interrupted with Ctrl-C
==== ======================================================================
"""

BAD_RESULT = 1
FINDINGS = 3
REFUSED = 4
NOT_REACHED = 5
CUT = 6
INTERRUPTED = 130


class CommandError(Exception):
    """Ends the command with ``code``; its text goes to standard error."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code
