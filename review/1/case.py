"""The operator changes the configuration 730 times, in bursts. Nothing else happens. The platform kills a control
process that uses more than its 256 MB and starts it again after a short delay."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *

MEMORY_MB = 256
CHANGES = 730  # A day's changes by letter 1; PROTOCOL.md: "A day may be long and may contain hundreds of changes".
ROUTES = 5 + 110 + 370  # Routes in use, further routes of the site, and the largest count of big_config there.
BURST, BURST_GAP_S, PAUSE_S = 25, 0.06, 0.3  # config_storm: gap_s 0.06 for 1.5 s.
RESTART_S = 0.5
RECOVER_S = 12.0


class MemoryLimit:
    """The platform's memory limit: kills a process over it and starts it again."""

    def __init__(self, deployment, names, record):
        self.deployment, self.names, self.record = deployment, names, record
        self.kills = {name: 0 for name in names}
        self.ends = {name: 0 for name in names}
        self.peak = {name: 0 for name in names}
        self.running = True
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def anonymous_mb(self, process):
        try:
            status = Path(f"/proc/{process.child.pid}/status").read_text()
            return int(re.search(r"RssAnon:\s+(\d+) kB", status)[1]) / 1024
        except (OSError, TypeError):
            return 0

    def watch(self):
        while self.running:
            for name in self.names:
                process = self.deployment.processes[name]
                if process.has_ended():
                    self.ends[name] += 1
                    self.record.write(f"{name} has ended by itself, status {process.child.returncode}")
                    time.sleep(RESTART_S)
                    process.start(bootstrap=False)
                    continue
                mb = self.anonymous_mb(process)
                self.peak[name] = max(self.peak[name], mb)
                if mb > MEMORY_MB:
                    process.child.kill()
                    process.child.wait()
                    self.kills[name] += 1
                    self.record.write(f"{name} used {mb:.0f} MB of its {MEMORY_MB} MB: killed, as the platform does")
                    time.sleep(RESTART_S)
                    process.start(bootstrap=False)
            time.sleep(0.05)

    def stop(self):
        self.running = False
        self.thread.join()


def body(version):
    routes = [(f"r-{i:04d}", f"127.254.{i // 200}.{i % 200 + 1}", 8443, "idempotent", "huvo11a")
              for i in range(ROUTES)]
    plan = configuration(version, routes, ["huvo11a", "wuno96b"])
    for route in plan["routes"]:
        route["timeout-ms"] = 1000 + version
    return json.dumps(plan).encode()


def play(case):
    record = case.record
    deployment = Deployment(record, {}, controls=4, balancers=1, zones=("a", "b", "c", "d"))
    case.cleanup.append(deployment)
    deployment.start()
    names = [f"core-{i}" for i in (1, 2, 3, 4)]
    limit = MemoryLimit(deployment, names, record)
    case.cleanup.append(limit)
    operator = Operator(deployment)
    status, _ = operator.order("PUT", "/api/config", body(1), 15)
    if status != 200:
        raise CannotRun("the first configuration was not acknowledged")
    record.write(f"a configuration has {ROUTES} routes and {len(body(1000))} bytes")
    changes = CHANGES if case.trouble else 20
    acknowledged, unanswered, version = 1, 0, 1
    end = time.monotonic() + 78
    while version < changes and time.monotonic() < end:
        for _ in range(BURST):
            begin = time.monotonic()
            version += 1
            status, _ = operator.order("PUT", "/api/config", body(version), 5.0)
            if status == 200:
                acknowledged = version
            else:
                unanswered += 1
            if version >= changes or time.monotonic() >= end:
                break
            time.sleep(max(0.0, BURST_GAP_S - (time.monotonic() - begin)))
        record.write(f"version {version}: {unanswered} changes unanswered; peaks "
                     + ", ".join(f"{n} {mb:.0f} MB" for n, mb in limit.peak.items()))
        time.sleep(PAUSE_S)
    record.write(f"the last change is {version}; the newest acknowledged version is {acknowledged}")
    time.sleep(RECOVER_S if case.trouble else 1)
    status, data = operator.order("GET", "/api/config", None, 5.0)
    read = json.loads(data)["version"] if status == 200 else None
    record.write(f"read back: version {read}; killed for memory: {limit.kills}; ended by themselves: {limit.ends};"
                 f" changes unanswered: {unanswered}")
    half = [n for n in names if limit.kills[n] + limit.ends[n] >= 3]
    lost = read is None or read < acknowledged
    record.write(f"processes that ended three times or more: {len(half)} of {len(names)} of the core")
    return lost or len(half) * 2 >= len(names)


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
