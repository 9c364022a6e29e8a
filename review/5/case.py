"""An empty host is added and takes flows. Right after that all processes of the core and the new host's agent are
killed at the same moment and are back within a second. The new host lives on, but its flows are reset later."""

import os
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *

CONTACT_S = 4.0
# When each process is started again. DEPLOY.md: all are "back within a second".
CORE_RESTART_S = (0.3, 0.8, 0.9)
AGENT_RESTART_S = 0.4
KILL_AFTER_S = 0.08  # After the first flow has opened at the new host.


def play(case):
    record = case.record
    deployment = Deployment(record, {"desk": 3})
    case.cleanup.append(deployment)
    *first_sides, added = deployment.sides
    for name, process in deployment.processes.items():
        if name != added:
            process.start(bootstrap=True)
    hosts = [Host(deployment, side, record) for side in first_sides]
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
    time.sleep(5)

    agent = deployment.processes[added]
    agent.start(bootstrap=False)
    new_host = Host(deployment, added, record)
    case.cleanup.append(new_host)
    record.write(f"{added} is added")
    flows = []

    def use(flow):
        if flow.connect():
            flow.request(f"first-{flow.own[1]}", 1.0)

    herd = [p for n, p in deployment.processes.items() if n.startswith("core-")] + [agent]
    end = time.monotonic() + 10
    pool = ThreadPoolExecutor(100)
    while not new_host.opened and time.monotonic() < end:
        flows.append(network.open(service))
        pool.submit(use, flows[-1])
        time.sleep(0.005)
    if not new_host.opened:
        raise CannotRun("the new host gets no flows")
    kill_at = new_host.opened[0][0] + KILL_AFTER_S
    while time.monotonic() < kill_at:
        flows.append(network.open(service))
        pool.submit(use, flows[-1])
        time.sleep(0.005)
    if case.trouble:
        for it in herd:
            it.child.kill()
        killed = time.monotonic()
        record.write("killed at the same moment: " + ", ".join(p.name for p in herd))
    pool.shutdown(wait=False)
    if case.trouble:
        for it in herd:
            it.child.wait()
        starts = sorted(zip(CORE_RESTART_S + (AGENT_RESTART_S,), herd), key=lambda it: it[0])
        for after, it in starts:
            time.sleep(max(0.0, killed + after - time.monotonic()))
            it.start(bootstrap=False)
            record.write(f"{it.name} is started again")
    restarted = time.monotonic()
    pool.shutdown(wait=True)
    mine = [f for f in flows if f.answers and (f.own, service) in new_host.flows and not f.reset_at]
    record.write(f"{len(mine)} flows are open at {added} and were answered")
    if not mine:
        raise CannotRun("no flows at the new host")
    time.sleep(CONTACT_S + 1.0)
    record.write("each of these flows sends its next request")
    with ThreadPoolExecutor(len(mine)) as pool:
        list(pool.map(lambda f: f.request(f"second-{f.own[1]}", 6.0), mine))
    broken = [f for f in mine if f.reset_at and not f.reset_by_host and f.reset_at > restarted + CONTACT_S]
    answered = sum(1 for f in mine if len(f.answers) == 2)
    record.write(f"{added} lives and holds {sum((f.own, service) in new_host.flows for f in mine)} of these flows;"
                 f" {answered} of {len(mine)} were answered, {len(broken)} were reset by the system")
    return bool(broken)


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
