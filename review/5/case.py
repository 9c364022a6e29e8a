"""One configuration changes the weights of a route from eight services to one of them. Each service has one host, and
all hosts live. A flow that is open at one of the other seven hosts is reset by the system."""

import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *

CONFIG_S = 3.0


def play(case):
    record = case.record
    services = [f"desk-{i}" for i in range(1, 9)]
    deployment = Deployment(record, {s: 1 for s in services})
    case.cleanup.append(deployment)
    deployment.start()
    hosts = [Host(deployment, side, record) for side in deployment.sides]
    case.cleanup += hosts
    network = Network(deployment, record)
    case.cleanup.append(network)
    operator = Operator(deployment)
    address = ("127.254.0.1", 443)

    def put(version, split):
        plan = configuration(version, [("r-feed", *address, "idempotent", split)], services)
        status, _ = operator.order("PUT", "/api/config", json.dumps(plan), 15)
        if status != 200:
            raise CannotRun(f"version {version} was not acknowledged")
        record.write(f"version {version} is acknowledged: the weights are {split}")

    put(7, {s: 10 for s in services})
    wait_until(lambda: all(network.ready.values()), 10, "the balancers are not ready")
    time.sleep(4)

    flows = [network.open(address) for _ in range(80)]
    with ThreadPoolExecutor(len(flows)) as pool:
        list(pool.map(lambda f: f.connect(), flows))
        first = list(pool.map(lambda f: f.request(f"first-{f.own[1]}") if f.is_open else None, flows))
    served = [f for f, answer in zip(flows, first) if answer]
    for host in hosts:
        record.write(f"{host.name} holds {sum((f.own, address) in host.flows for f in served)} flows")
    if len(served) < 60:
        raise CannotRun("too few flows are open")

    weights = {services[0]: 100}
    put(9, weights if case.trouble else {s: 10 for s in services})
    time.sleep(CONFIG_S)
    record.write("each flow sends its next request")
    with ThreadPoolExecutor(len(served)) as pool:
        list(pool.map(lambda f: f.request(f"second-{f.own[1]}", 6.0), served))
    broken = [f for f in served if f.reset_at and not f.reset_by_host]
    answered = sum(1 for f in served if len(f.answers) == 2)
    for host in hosts:
        mine = [f for f in served if (f.own, address) in host.flows]
        record.write(f"{host.name} lives and holds {len(mine)} flows; the system has reset"
                     f" {sum(f in broken for f in mine)} of them")
    record.write(f"{answered} of {len(served)} flows were answered, {len(broken)} were reset by the system")
    return bool(broken)


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
