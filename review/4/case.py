"""An agent stands still three times within a minute. A flow that opened between the second and the third time, and was
idle meanwhile, is reset although its host lives and the last disturbance is more than contact-ms ago."""

import os
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *

FREEZE_S = 3.5  # At most 4 s, the length of node_freeze on the site's list of disturbances.
GAP_S = 8.0
CONTACT_S = 4.0


def play(case):
    record = case.record
    deployment = Deployment(record, {"desk": 3})
    case.cleanup.append(deployment)
    deployment.start()
    hosts = [Host(deployment, side, record) for side in deployment.sides]
    case.cleanup += hosts
    network = Network(deployment, record)
    case.cleanup.append(network)
    operator = Operator(deployment)
    service = ("127.254.0.1", 443)
    plan = configuration(7, [("r-feed", *service, "idempotent", "desk")], ["desk"])
    status, _ = operator.order("PUT", "/api/config", json.dumps(plan), 15)
    if status != 200:
        raise CannotRun("the first configuration was not acknowledged")
    wait_until(lambda: all(network.ready.values()), 10, "the balancers are not ready")
    time.sleep(3)

    victim, agent = hosts[0], deployment.processes[hosts[0].name]

    def freeze():
        if case.trouble:
            agent.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        if case.trouble:
            agent.signal(signal.SIGCONT)
        return time.monotonic()

    for _ in range(2):
        freeze()
        time.sleep(GAP_S)

    flows = [network.open(service) for _ in range(40)]
    with ThreadPoolExecutor(len(flows)) as pool:
        opened = list(pool.map(lambda f: f.connect(), flows))
        first = list(pool.map(lambda f: f.request(f"first-{f.own[1]}") if f.is_open else None, flows))
    mine = [f for f, answer in zip(flows, first) if answer and (f.own, service) in victim.flows]
    record.write(f"{sum(opened)} of {len(flows)} flows open, {len(mine)} of them at {victim.name}")
    if len(mine) < 3:
        raise CannotRun("too few flows at the host")

    thawed = freeze()
    time.sleep(CONTACT_S + 0.2)
    record.write(f"{CONTACT_S + 0.2} s after the last disturbance: each flow at {victim.name} sends its next request")
    with ThreadPoolExecutor(len(mine)) as pool:
        list(pool.map(lambda f: f.request(f"second-{f.own[1]}", 6.0), mine))
    if deployment.processes[victim.name].has_ended():
        raise CannotRun("the agent has ended")
    broken = [f for f in mine if f.reset_at and not f.reset_by_host and f.reset_at > thawed + CONTACT_S]
    answered = sum(1 for f in mine if len(f.answers) == 2)
    record.write(f"{victim.name} lives and holds {sum((f.own, service) in victim.flows for f in mine)} of these flows;"
                 f" {answered} of {len(mine)} were answered, {len(broken)} were reset by the system")
    return bool(broken)


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
