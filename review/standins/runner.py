"""Runs one case: record, processes, exit code."""

import os
import signal
import sys

from deployment import CannotRun, Deployment, Record

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2


def _stop(number, _frame):
    raise CannotRun(f"ended by {signal.Signals(number).name}")


def run_case(directory, play):
    """Calls `play(deployment, record, has_trouble)`, which returns a text if the rule was broken, and None if it
    held. Returns the exit code. All processes have ended when it returns."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _stop)
    record = Record(directory / "record.txt")
    deployment = None
    try:
        deployment = Deployment(record)
        broken = play(deployment, record, os.environ.get("TROUBLE", "1") != "0")
    except Exception as reason:  # Whatever goes wrong here says nothing about the rule.
        record.write("check", f"the case could not run: {type(reason).__name__}: {reason}")
        return COULD_NOT_RUN
    finally:
        if deployment is not None:
            deployment.stop()
    record.write("check", f"broken: {broken}" if broken else "the rule held")
    return RULE_BROKEN if broken else RULE_HELD


def main(directory, play):
    sys.stdout.flush()
    # Threads of stand-ins may still wait for the network.
    code = run_case(directory, play)
    sys.stdout.flush()
    os._exit(code)
