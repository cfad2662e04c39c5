"""A target leaves by DELETE and serves on; its address was held before by a target that crashed."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from client import Client
from deployment import CONTACT_S, DRAIN_S, REUSE_AFTER_S, TARGET_PORT, CannotRun, configuration, route
from runner import main
from target import Target

FEED = ("198.18.0.1", 8443)
PAPERS = ("198.18.0.1", 8080)


def play(deployment, record, has_trouble):
    deployment.start(configuration(1, [route("feed", FEED[1], "feed-service"),
                                       route("papers", PAPERS[1], "paper-service", "non_idempotent")],
                                   ["feed-service", "paper-service"]))
    address = (deployment.ip(4, 1), TARGET_PORT)
    others = [Target(deployment, "feed-2", "feed-service", (deployment.ip(4, 2), TARGET_PORT), "zone-b")]
    if has_trouble:
        crashed = Target(deployment, "feed-1", "feed-service", address, "zone-a")
        time.sleep(2.5)
        crashed.end("crashes and says nothing")
        time.sleep(REUSE_AFTER_S + 0.5)
    leaving = Target(deployment, "paper-1", "paper-service", address, "zone-a")
    # Longer than contact_ms, so that the crash is no excuse any more.
    time.sleep(CONTACT_S + 1.5)
    client = Client(deployment, deployment.ip(3, 1))
    flows = [client.open(balancer, PAPERS) for balancer in deployment.balancers]
    for flow in flows:
        if flow.request() != "answered":
            raise CannotRun(f"{flow.name} was not served before the target left")
    if leaving.deregister() != 200:
        raise CannotRun("the DELETE was not acknowledged")
    left_at = time.monotonic()
    others.append(Target(deployment, "paper-2", "paper-service", (deployment.ip(4, 3), TARGET_PORT), "zone-c"))
    time.sleep(0.5)
    outcomes = [flow.request() for flow in flows]
    time.sleep(max(0.0, left_at + DRAIN_S + 0.5 - time.monotonic()))
    leaving.end()
    deployment.check_processes()
    record.write("check", f"requests 0.5 s after the DELETE: {', '.join(outcomes)}")
    reset = [flow.name for flow in flows if flow.reset_by == "system"]
    return f"FLOW: the system reset {', '.join(reset)}, open at {leaving.name}, which was alive" if reset else None


if __name__ == "__main__":
    main(HERE, play)
