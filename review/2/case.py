"""A control machine is replaced as planned: its successor starts first, has its catchup-s, and then the old machine
gets SIGTERM and is gone for good. Right after that another control machine loses its disk and comes back empty."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *

CATCHUP_S = 4.0
RECOVER_S = 12.0
WATCH_S = 60.0
DARK_S = 2.0  # At most 3 s, as after_ack_wipe and after_ack_kill on the site's list.


def play(case):
    record = case.record
    deployment = Deployment(record, {}, controls=3, balancers=1)
    case.cleanup.append(deployment)
    deployment.start()
    operator = Operator(deployment)
    route = ("r-feed", "127.254.0.1", 443, "idempotent", "desk")

    def put(version, seconds):
        plan = configuration(version, [route], ["desk"], idle_timeout_ms=15000 + version)
        status, _ = operator.order("PUT", "/api/config", json.dumps(plan), seconds)
        return status == 200

    if not put(7, 15):
        raise CannotRun("the first configuration was not acknowledged")
    time.sleep(2)

    leader = None
    for ip in deployment.control_ips:
        connection = http.client.HTTPConnection(ip, CONTROL_PORT, timeout=1)
        connection.request("GET", "/api/config")
        if connection.getresponse().status == 200:
            leader = ip
        connection.close()
    if leader is None:
        raise CannotRun("no leader")
    others = [ip for ip in deployment.control_ips if ip != leader]
    names = {p.fields["ip"]: name for name, p in deployment.processes.items()}
    old, wiped = names[others[0]], names[others[1]]

    successor_ip = deployment.ip(1, 9)
    deployment._add("core-4", "control", successor_ip, deployment.processes[old].fields["zone"],
                    {"listen": {"control": f"{successor_ip}:{CONTROL_PORT}"},
                     "data-dir": str(deployment.folder / "data-core-4"), "tolerance-member": True})
    deployment.processes["core-4"].start(bootstrap=False)
    record.write(f"the successor core-4 of {old} has started with an empty disk")
    time.sleep(CATCHUP_S + 1.0)

    deployment.processes[old].signal(signal.SIGTERM)
    deployment.processes[old].child.wait(6)
    operator.ips.remove(others[0])
    operator.ips.append(successor_ip)
    record.write(f"{old} has ended and is gone for good; core-4 has run for {CATCHUP_S + 1.0} s")
    if not put(9, 10):
        raise CannotRun("version 9 was not acknowledged")

    if case.trouble:
        process = deployment.processes[wiped]
        process.signal(signal.SIGKILL)
        process.child.wait()
        time.sleep(DARK_S)
        process.fields["data-dir"] += "-empty"
        process.start(bootstrap=False)
        record.write(f"{wiped} is back at its old address with an empty disk")
    back = time.monotonic()

    acknowledged = read = False
    while time.monotonic() - back < WATCH_S and not (acknowledged and read):
        acknowledged = acknowledged or put(11, 3.0)
        status, body = operator.order("GET", "/api/config", None, 3.0)
        read = read or (status == 200 and json.loads(body)["version"] >= 9)
    record.write(f"{time.monotonic() - back:.1f} s after the machine was back: version 11 "
                 f"{'was' if acknowledged else 'was never'} acknowledged, the acknowledged version 9 "
                 f"{'was' if read else 'could never be'} read back")
    if any(deployment.processes[n].has_ended() for n in (wiped, "core-4", names[leader])):
        raise CannotRun("a control process has ended")
    return not read


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
