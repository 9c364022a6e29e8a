"""A host stops as planned; its DELETE is held up by a partition. It starts again under its id. Then the DELETE arrives."""

import os
import socket
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import deployment as d  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("198.18.0.1", 8443)
CONTACT_S = d.BOUNDS["contact-ms"] / 1000


class Partition:
    """A proxy in front of an agent's control address. It holds up what passes it until the partition ends. A caller
    that closes its connection meanwhile loses no bytes."""

    def __init__(self, deployment, target):
        self.target, self.held = target, []
        self.address = ("%s.%d" % (deployment.prefix, 120), d.CONTROL_PORT)
        self.listener = socket.create_server(self.address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.hold, args=(connection,), daemon=True).start()

    def hold(self, connection):
        text = b""
        while True:
            part = connection.recv(4096)
            if not part:
                break
            text += part
        self.held.append(text)

    def end(self):
        for text in self.held:
            with socket.create_connection(self.target, timeout=1) as connection:
                connection.sendall(text)
                connection.shutdown(socket.SHUT_WR)
                try:
                    connection.recv(4096)
                except OSError:
                    pass


def open_flows(requester, count, flows, label):
    for _ in range(count):
        flow = requester.open()
        flow["label"] = "%s-%d" % (label, len(flows))
        flows.append(flow)
        time.sleep(0.05)
    time.sleep(1.5)
    return [it for it in flows if it["label"].startswith(label) and it["state"] == "open"]


def request_all(requester, flows, label):
    for flow in flows:
        requester.request(flow, flow["label"] + "-" + label)
        time.sleep(0.01)
    time.sleep(1)


def run(record):
    it = d.Deployment(record, controls=3, fronts=2, hosts=3)
    try:
        it.start()
        hosts = [d.Host(it, side, "desk") for side in it.sides]
        operator = d.Operator(it)
        operator.put(d.configuration(7, [d.route("feed", *ROUTE, "desk")], [d.service("desk", warmup_s=0.0)]))
        for host in hosts:
            host.start()
        it.wait_ready(it.fronts + it.sides)
        time.sleep(5)
        requester = d.Requester(it, 0, *ROUTE)
        flows = []
        host = hosts[0]

        # A planned restart: draining, drain-ms of service, DELETE, exit; then a start under the same id.
        while not host.report("draining"):
            time.sleep(0.3)
        time.sleep(d.BOUNDS["drain-ms"] / 1000 + 0.5)
        partition = Partition(it, host.control)
        answer = d.call(*(partition.address if TROUBLE else host.control), "DELETE", "/api/instances/" + host.id)
        record("%s: DELETE %s -> %s" % (host.name, host.id, answer and answer[0]))
        time.sleep(2)
        host.crash()
        time.sleep(0.5)
        host.start()
        time.sleep(6)

        live = open_flows(requester, 40, flows, "feed")
        request_all(requester, live, "first")
        held_by = {id(flow): other for flow in live for other in hosts
                   if other.holds((d.to_int(requester.ip), flow["port"], d.to_int(ROUTE[0]), ROUTE[1]),
                                  other.incarnation)}
        at_host = [flow for flow in live if held_by.get(id(flow)) is host]
        record("%d of %d open flows are at %s" % (len(at_host), len(live), host.name))
        if not at_host:
            raise d.CannotRun("no flow is at the restarted host")
        if TROUBLE:
            record("the partition ends: DELETE %s of the former run arrives" % host.id)
            partition.end()
        time.sleep(CONTACT_S + 1)
        request_all(requester, live, "second")
        time.sleep(5)
        broken = [flow for flow in at_host if flow["state"] == "reset" and flow["reset_by_system"]]
        for flow in broken:
            record("BROKEN: the flow of port %d was reset by the system; %s lives and never sent a reset" % (
                flow["port"], host.name))
        taken = len(host.taken)
        open_flows(requester, 60, flows, "later")
        record("%s has taken %d of 60 new flows since, and has reported that it is ready all the time" % (
            host.name, len(host.taken) - taken))
        record("result: %d flows at the restarted host, %d reset by the system" % (len(at_host), len(broken)))
        return 1 if broken else 0
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
