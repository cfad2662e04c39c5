#!/usr/bin/env python3
"""Computes a lower bound of the credit that any balancer loses when all machines fail at once.

Usage: scripts/recovery_bound.py --listens S --decides S [--answer S] CLASS...
CLASS is rate:aim:deadline:worth:worth_late of one kind of request, times in seconds.

Clients retransmit after 0.2, 0.6 and 1.4 s. A packet is received once a balancer listens
(`--listens`, seconds after the loss) and gets its response `--answer` seconds later, but not before
the state is known (`--decides`). The capacity of targets is unlimited.
"""
import argparse

# When a client sends its packet and the retransmissions, in seconds (docs/PLATFORM.md).
SEND_TIMES_S = (0.0, 0.2, 0.6, 1.4)
STEP_S = 0.001


def credit(first_sent: float, arguments: argparse.Namespace, request_class: list[float]) -> float:
    """Maximum credit of a request first sent at `first_sent`, in seconds after the loss."""
    _, aim, deadline, worth, worth_late = request_class
    best = 0.0
    for delay in SEND_TIMES_S:
        sent_at = first_sent + delay
        replied_at = sent_at + arguments.answer
        if replied_at > 0:
            if sent_at < arguments.listens:
                continue
            replied_at = max(arguments.decides, sent_at) + arguments.answer
        if replied_at <= first_sent + aim:
            best = max(best, worth)
        elif replied_at <= first_sent + deadline:
            best = max(best, worth_late)
    return best


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--listens", type=float, required=True)
    parser.add_argument("--decides", type=float, required=True)
    parser.add_argument("--answer", type=float, default=0.06)
    parser.add_argument("classes", nargs="+")
    arguments = parser.parse_args()
    lost = 0.0
    for text in arguments.classes:
        request_class = [float(part) for part in text.split(":")]
        steps = int((arguments.decides + 2 * arguments.answer) / STEP_S)
        lost += sum((request_class[3] - credit(step * STEP_S - arguments.answer, arguments, request_class))
                    * STEP_S * request_class[0]
                    for step in range(steps))
    print(f"credit lost at least: {lost:.0f}")


if __name__ == "__main__":
    main()
