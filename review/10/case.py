"""An operator sends a configuration in which a route names an unknown service. It must be refused and change nothing."""

import json
import os
import sys
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import deployment as d  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FEED, ORDERS = ("198.18.0.1", 8443), ("198.18.0.2", 8443)


def open_flows(requester, count, label):
    flows = []
    for n in range(count):
        flow = requester.open()
        flow["label"] = "%s-%d" % (label, n)
        flows.append(flow)
        time.sleep(0.02)
    time.sleep(1.5)
    return flows


def run(record):
    it = d.Deployment(record, controls=3, fronts=2, hosts=3)
    try:
        it.start()
        hosts = [d.Host(it, side, "desk") for side in it.sides]
        operator = d.Operator(it)
        services = [d.service("desk", warmup_s=0.0)]
        feed, orders = d.route("feed", *FEED, "desk"), d.route("orders", *ORDERS, "desk", kind="non_idempotent")
        operator.put(d.configuration(7, [feed, orders], services))
        for host in hosts:
            host.start()
        it.wait_ready(it.fronts + it.sides)
        time.sleep(5)
        requester = d.Requester(it, 0, *ORDERS)
        flows = [flow for flow in open_flows(requester, 20, "open") if flow["state"] == "open"]
        record("%d flows of the route orders are open" % len(flows))

        # The operator's change: the route feed is to be split, the route orders is to go. One name is misspelt.
        changed = dict(feed, **{"weighted-split": [{"service": "desk", "weight": 90}, {"service": "dseck", "weight": 10}]})
        invalid = d.configuration(9, [changed], services)
        record("the operator sends version 9: feed names the unknown service dseck, orders is left out")
        answer = operator.order("PUT", "/api/config", json.dumps(invalid)) if TROUBLE else None
        acknowledged = answer is not None and 200 <= answer[0] < 300
        time.sleep(d.BOUNDS["config-ms"] / 1000 + 0.5)
        read = operator.order("GET", "/api/config")
        version = json.loads(read[2])["version"] if read else None
        record("read back: version %s" % version)
        later = open_flows(requester, 20, "later")
        for flow in flows + later:
            requester.request(flow, flow["label"])
        time.sleep(3)
        lost = [flow for flow in flows if flow["state"] == "reset"]
        refused = [flow for flow in later if flow["state"] in ("reset", "failed")]
        served = [flow for flow in flows + later if flow["answers"]]
        record("orders: %d of %d open flows reset, %d of %d new flows refused, %d requests answered" % (
            len(lost), len(flows), len(refused), len(later), len(served)))
        if read is None or not flows:
            raise d.CannotRun("nothing is read or served")
        if acknowledged:
            record("BROKEN: an invalid configuration was acknowledged")
        if version == 9:
            record("BROKEN: an invalid configuration is in force")
        return 1 if acknowledged or version == 9 else 0
    finally:
        it.end()


def main():
    record = d.Record(os.path.join(HERE, "record.txt"))
    try:
        result = run(record)
    except Exception as error:  # The case could not run.
        record("cannot run: %r\n%s" % (error, traceback.format_exc()))
        result = 2
    record("exit %d" % result)
    os._exit(result)


main()
