"""A small deployment of the project's own programs on loopback addresses, with sound stand-ins of the platform, the
hosts, the requesters and the operator, as PROTOCOL.md and DEPLOY.md describe them."""

import http.client
import json
import os
import random
import re
import selectors
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SETTINGS_PATH = "/etc/ibisdyke/node.toml"

DATAGRAM_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT, PEER_PORT = 8172, 8167, 8166, 8162, 8165, 7720

SYN, FIN, BOUNCED, RST, ACK = 4, 8, 16, 64, 128
HEAD = struct.Struct(">IIIHHIIIHB3s")

BOUNDS = {"seed-lag-s": 3, "reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catchup-s": 4, "drain-ms": 3000,
          "grace-s": 6, "loss-slack-ms": 200, "config-ms": 3000, "rollback-slack-ms": 250, "stretch-ms": 12000,
          "warmup-factor": 1.5, "warmup-slack": 5, "evacuate-ms": 5000, "recover-s": 12, "stray-ms": 2000,
          "flow-ttl-s": 60}
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def to_int(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def to_text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


# --- The provider: settings, processes

def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template, scopes, comma=""):
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, body = match.groups()
        value = lookup(scopes, name)
        if kind == "^":
            return render(body, scopes, comma) if value in (None, False) else ""
        if value in (None, False):
            return ""
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(
                render(body, scopes + [it], "" if i == last else ",") for i, it in enumerate(value))
        return render(body, scopes, comma)

    def value_text(match):
        value = lookup(scopes, match.group(1))
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = section.sub(expand, template).replace("{{,}}", comma)
    return re.sub(r"\{\{([^}#^/]+)\}\}", value_text, text)


class Node:
    """A machine with one process of a role."""

    def __init__(self, deployment, role, name, ip, zone, extra):
        self.deployment, self.role, self.name, self.ip, self.zone, self.extra = deployment, role, name, ip, zone, extra
        self.process = None
        self.folder = os.path.join(deployment.folder, name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.log = open(os.path.join(self.folder, "log"), "ab")

    def fields(self, bootstrap):
        listen = {"datagram-addr": "%s:%d" % (self.ip, DATAGRAM_PORT), "ready": "%s:%d" % (self.ip, READY_PORT),
                  "control": "%s:%d" % (self.ip, CONTROL_PORT), "outbound": "%s:%d" % (self.ip, OUTBOUND_PORT)}
        result = {"node-name": self.name, "ip": self.ip, "zone": self.zone, "bootstrap": bootstrap,
                  "seeds": self.deployment.seeds, "internal-port-range": [PEER_PORT, PEER_PORT + 15],
                  "heartbeat-ms": HEARTBEAT_MS, "bounds": BOUNDS, "listen": listen,
                  "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
                  "data-dir": os.path.join(self.folder, "data")}
        result.update(self.extra)
        return result

    def start(self, bootstrap=False):
        role = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            settings = render(template.read(), [self.fields(bootstrap)])
        path = os.path.join(self.folder, "node.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = [path if it == SETTINGS_PATH else it for it in role["run"].split()]
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun(words[0] + " is missing; build the deploy file first")
        self.process = subprocess.Popen([program] + words[1:], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log, env={"PATH": "/usr/bin:/bin", "IBISDYKE_BOOT": path})
        self.deployment.record("%s started" % self.name)

    def send_signal(self, number):
        self.deployment.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def stop(self):
        """SIGTERM, and SIGKILL after grace-s."""
        self.send_signal(signal.SIGTERM)
        try:
            self.process.wait(BOUNDS["grace-s"])
        except subprocess.TimeoutExpired:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        return get(self.ip, READY_PORT, "/api/readiness") == 200

    def count(self, text):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read().count(text)


def call(ip, port, method, path, body=None, timeout=1.0):
    """Returns (status, headers, body), or None without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def get(ip, port, path):
    answer = call(ip, port, "GET", path)
    return answer[0] if answer else None


class Deployment:
    def __init__(self, record, controls=3, fronts=2, hosts=3, zones=("zone-a", "zone-b", "zone-c"), service="desk"):
        # A case that is stopped from outside ends its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="ibisdyke-case-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.prefix = self.find_prefix()
        self.zones = zones
        control_ips = ["%s.%d" % (self.prefix, 10 + i) for i in range(controls)]
        self.seeds = ["%s:%d" % (it, CONTROL_PORT) for it in control_ips[:3]]
        self.controls = [Node(self, "control", "core-%d" % (i + 1), ip, zones[i % len(zones)], {})
                         for i, ip in enumerate(control_ips)]
        self.fronts = [Node(self, "balancer", "front-%d" % (i + 1), "%s.%d" % (self.prefix, 40 + i),
                            zones[i % len(zones)], {}) for i in range(fronts)]
        self.sides = []
        for i in range(hosts):
            ip = "%s.%d" % (self.prefix, 70 + i)
            self.sides.append(Node(self, "agent", "side-%d" % (i + 1), ip, zones[i % len(zones)],
                                   {"service": service, "app": "%s:%d" % (ip, APP_PORT)}))

    @staticmethod
    def find_prefix():
        for _ in range(100):
            prefix = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                probe.bind((prefix + ".10", CONTROL_PORT))
                return prefix
            except OSError:
                continue
            finally:
                probe.close()
        raise CannotRun("no free loopback addresses")

    def nodes(self):
        return self.controls + self.fronts + self.sides

    def start(self):
        for it in self.nodes():
            it.start(bootstrap=True)

    def wait_ready(self, nodes, seconds=15):
        end = time.monotonic() + seconds
        for it in nodes:
            while not it.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(it.name + " does not become ready")
                time.sleep(0.05)
        self.record("ready: " + ", ".join(it.name for it in nodes))

    def end(self):
        for it in self.nodes():
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP_FOLDER"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- The operator

class Operator:
    def __init__(self, deployment):
        self.deployment = deployment

    def order(self, method, path, body=None, seconds=15):
        """Sends an order to one node after the other until it is answered clearly. Returns the status or None."""
        end = time.monotonic() + seconds
        pause, i = 0.05, random.randrange(len(self.deployment.controls))
        while time.monotonic() < end:
            node = self.deployment.controls[i % len(self.deployment.controls)]
            i += 1
            answer = self.call(node.ip, CONTROL_PORT, method, path, body)
            self.deployment.record("operator: %s %s at %s -> %s" % (method, path, node.name, answer and answer[0]))
            if answer and (200 <= answer[0] < 300 or answer[0] in (400, 409, 412, 413, 422)):
                return answer
            time.sleep(pause)
            pause = min(pause * 2, 0.8)
        return None

    @staticmethod
    def call(ip, port, method, path, body):
        for _ in range(3):
            answer = call(ip, port, method, path, body)
            if not answer or answer[0] != 307:
                return answer
            target = re.match(r"http://([^:/]+):(\d+)(/.*)", answer[1].get("Location", ""))
            if not target:
                return None
            ip, port, path = target.group(1), int(target.group(2)), target.group(3)
        return answer

    def put(self, configuration):
        answer = self.order("PUT", "/api/config", json.dumps(configuration))
        if not answer or answer[0] != 200:
            raise CannotRun("the configuration was not accepted: %s" % (answer,))


def route(name, host, port, service, kind="idempotent", timeout_ms=15000, slo_ms=500):
    return {"name": name, "host": host, "path-prefix": "/%d/" % port, "kind": kind, "timeout-ms": timeout_ms,
            "latency-slo-ms": slo_ms, "priority": 1, "service": service, "attempts": 2}


def service(name, warmup_s=2.0, warmup_per_s=0.0):
    return {"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False,
            "warmup-s": warmup_s, "warmup-per-s": warmup_per_s}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}}


# --- Packets

class Packet:
    __slots__ = ("echo", "seq", "ack", "dport", "sport", "dst", "src", "sum", "flags", "pad", "data")

    def __init__(self, raw=None, **fields):
        if raw is not None:
            (self.echo, self.seq, self.ack, self.dport, self.sport, self.dst, self.src, self.sum, size, self.flags,
             self.pad) = HEAD.unpack_from(raw)
            self.data = raw[HEAD.size:HEAD.size + size]
            return
        self.echo, self.seq, self.ack, self.flags, self.pad, self.data = 0, 0, 0, 0, b"\0\0\0", b""
        for name, value in fields.items():
            setattr(self, name, value)
        self.sum = self.right_sum()

    def right_sum(self):
        """A stand-in for the keyed sum, which only the ends of a flow know."""
        text = repr((self.seq, self.ack, self.dport, self.sport, self.dst, self.src, self.flags & ~BOUNCED, self.data))
        result = 2166136261
        for byte in text.encode():
            result = (result ^ byte) * 16777619 & 0xffffffff
        return result or 1

    def bytes(self):
        return HEAD.pack(self.echo, self.seq, self.ack, self.dport, self.sport, self.dst, self.src, self.sum,
                         len(self.data), self.flags, self.pad) + self.data


RESEND_TIMES = [0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6]


# --- Hosts

class Host:
    """A host beside an agent. Each start is a new incarnation. Serves requests of one packet each."""

    def __init__(self, deployment, side, service_name, host_id=None, work_s=0.005, slots=5, retry_s=0.3):
        self.deployment, self.side, self.service, self.work_s, self.slots, self.retry_s = (
            deployment, side, service_name, work_s, slots, retry_s)
        self.id = host_id or "i-%010x" % random.getrandbits(40)
        self.control = (side.ip, CONTROL_PORT)
        self.state, self.born, self.sequence = "ready", 0, 0
        self.alive = False
        self.incarnation = 0
        self.lock = threading.RLock()
        self.runs = []  # (time, request id, incarnation)
        self.opened = []  # (time, flow, incarnation)
        self.taken = []  # (time, flow, incarnation): SYNs answered
        self.resets = 0
        self.disturbed_at = time.monotonic()

    @property
    def name(self):
        return "host-" + self.side.name

    def start(self):
        with self.lock:
            self.incarnation += 1
            self.flows = {}
            self.state, self.sequence = "ready", 0
            self.born = int(time.time() * 1000)
            self.alive = True
            self.disturbed_at = time.monotonic()
            self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.socket.bind((self.side.ip, APP_PORT))
            self.socket.settimeout(0.02)
        self.deployment.record("%s starts as %s, born %d" % (self.name, self.id, self.born))
        threading.Thread(target=self.receive, args=(self.incarnation,), daemon=True).start()
        threading.Thread(target=self.beat, args=(self.incarnation,), daemon=True).start()

    def crash(self):
        with self.lock:
            self.alive = False
            self.flows = {}
            self.disturbed_at = time.monotonic()
            self.socket.close()
        self.deployment.record("%s crashes" % self.name)

    def holds(self, flow, incarnation):
        with self.lock:
            return self.alive and self.incarnation == incarnation and flow in self.flows

    def is_current(self, incarnation):
        return self.alive and self.incarnation == incarnation

    def report(self, state=None):
        """One status report. Returns whether it was acknowledged."""
        with self.lock:
            self.state = state or self.state
            self.sequence += 1
            body = {"service": self.service, "address": "%s:%d" % (self.side.ip, APP_PORT), "zone": self.side.zone,
                    "version": "v1", "slots": self.slots, "state": self.state, "warmup-left-ms": 0,
                    "sequence": self.sequence, "born": self.born}
        answer = call(*self.control, "PUT", "/api/instances/" + self.id, json.dumps(body))
        done = answer is not None and 200 <= answer[0] < 300
        self.deployment.record("%s: PUT %s state=%s sequence=%d born=%d -> %s" % (
            self.name, self.id, body["state"], body["sequence"], body["born"], answer and answer[0]))
        return done

    def beat(self, incarnation):
        due = time.monotonic()
        while self.is_current(incarnation):
            if time.monotonic() >= due:
                done = self.report()
                due = time.monotonic() + (HEARTBEAT_MS / 1000 if done else self.retry_s)
            time.sleep(0.02)

    def send(self, packet):
        self.socket.sendto(packet.bytes(), (self.side.ip, OUTBOUND_PORT))

    def receive(self, incarnation):
        while self.is_current(incarnation):
            try:
                raw = self.socket.recv(2048)
            except socket.timeout:
                raw = None
            except OSError:
                return
            with self.lock:
                if not self.is_current(incarnation):
                    return
                if raw is not None:
                    self.handle(Packet(raw))
                self.resend()

    def answer(self, packet, flags, flow, data=b""):
        return Packet(seq=flow["seq"], ack=flow["ack"], dport=packet.sport, sport=packet.dport, dst=packet.src,
                      src=packet.dst, flags=flags, data=data)

    def bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = b"\0\0\0"
        self.send(packet)

    def handle(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(30), "ack": packet.seq + 1 & 0xffffffff,
                                          "open": False, "resend": None}
                self.taken.append((time.monotonic(), key, self.incarnation))
            return self.send(self.answer(packet, SYN | ACK, flow))
        if flow is None or (not flow["open"] and packet.ack != flow["seq"] + 1):
            return self.bounce(packet)
        if not flow["open"]:
            flow["open"] = True
            flow["seq"] += 1
            self.opened.append((time.monotonic(), key, self.incarnation))
            self.deployment.record("%s: flow %s:%d is open" % (self.name, to_text(key[0]), key[1]))
        if flow["resend"] and packet.ack >= flow["resend"]["next"]:
            flow["resend"] = None
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == flow["ack"]:
            flow["ack"] = packet.seq + len(packet.data) & 0xffffffff
            request = packet.data.decode().split("X-Attempt-Id: ")[1].split("\r\n")[0]
            self.runs.append((time.monotonic(), request, self.incarnation))
            self.deployment.record("%s: runs %s" % (self.name, request))
            body = ("answer to " + request).encode()
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            reply = self.answer(packet, ACK, flow, data)
            flow["seq"] += len(data)
            flow["resend"] = {"packet": reply, "next": flow["seq"], "count": 0, "due": time.monotonic() + 0.2}
            threading.Timer(self.work_s, self.send_late, (reply, self.incarnation)).start()
        elif packet.data:
            self.send(self.answer(packet, ACK, flow))
        if packet.flags & FIN:
            self.send(self.answer(packet, FIN | ACK, flow))
            del self.flows[key]

    def send_late(self, packet, incarnation):
        with self.lock:
            if self.is_current(incarnation):
                self.send(packet)

    def resend(self):
        now = time.monotonic()
        for flow in self.flows.values():
            it = flow["resend"]
            if it and now >= it["due"] and it["count"] < len(RESEND_TIMES):
                self.send(it["packet"])
                it["due"] = now + RESEND_TIMES[it["count"]]
                it["count"] += 1


# --- Requesters

class Requester:
    """Opens flows from one address. The provider's router sends each packet to a front node that is ready."""

    def __init__(self, deployment, number, route_host, route_port):
        self.deployment = deployment
        self.ip = "%s.%d" % (deployment.prefix, 150 + number)
        self.destination = (to_int(route_host), route_port)
        self.flows = {}
        self.lock = threading.RLock()
        self.next_port = 20000
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, DATAGRAM_PORT))
        self.socket.settimeout(0.02)
        threading.Thread(target=self.receive, daemon=True).start()

    def transmit(self, packet):
        fronts = [it for it in self.deployment.fronts if it.process.poll() is None]
        if not fronts:
            return
        front = fronts[packet.sport % len(fronts)]
        self.socket.sendto(packet.bytes(), (front.ip, DATAGRAM_PORT))

    def open(self):
        """Begins a flow. Its state becomes open, reset or failed."""
        with self.lock:
            self.next_port += 1
            flow = {"port": self.next_port, "seq": random.getrandbits(30), "ack": 0, "state": "opening",
                    "begun": time.monotonic(), "copies": 0, "due": 0.0, "request": None, "answers": [], "reset_at": None}
            self.flows[self.next_port] = flow
            self.send_syn(flow)
            return flow

    def packet(self, flow, flags, data=b""):
        return Packet(seq=flow["seq"], ack=flow["ack"], dport=self.destination[1], sport=flow["port"],
                      dst=self.destination[0], src=to_int(self.ip), flags=flags, data=data)

    def send_syn(self, flow):
        packet = Packet(seq=flow["seq"], ack=flow["copies"], dport=self.destination[1], sport=flow["port"],
                        dst=self.destination[0], src=to_int(self.ip), flags=SYN)
        self.transmit(packet)
        flow["copies"] += 1
        flow["due"] = flow["begun"] + (0.2, 0.6, 1.4)[flow["copies"] - 1]

    def request(self, flow, name):
        with self.lock:
            if flow["state"] != "open":
                return
            data = ("GET /feed HTTP/1.1\r\nX-Attempt-Id: %s\r\n\r\n" % name).encode()
            packet = self.packet(flow, ACK, data)
            flow["seq"] += len(data)
            flow["request"] = {"name": name, "packet": packet, "count": 0, "due": time.monotonic() + 0.2}
            self.transmit(packet)

    def receive(self):
        while True:
            try:
                raw = self.socket.recv(2048)
            except socket.timeout:
                raw = None
            with self.lock:
                if raw is not None:
                    self.handle(Packet(raw))
                self.resend()

    def handle(self, packet):
        flow = self.flows.get(packet.dport)
        if flow is None or flow["state"] in ("failed", "reset"):
            return
        if packet.flags & RST:
            if flow["state"] == "open" and abs(packet.seq - flow["ack"]) > 76800:
                return
            was_open = flow["state"] == "open"
            flow["state"], flow["reset_at"], flow["was_open"] = "reset", time.monotonic(), was_open
            flow["reset_by_system"] = packet.sum == 0
            self.deployment.record("requester %s:%d: RST, sum=%d, flow was %s, request %s" % (
                self.ip, flow["port"], packet.sum, "open" if was_open else "opening",
                flow["request"] and flow["request"]["name"]))
            return
        if packet.sum != packet.right_sum():
            flow["forged"] = True
            self.deployment.record("requester %s:%d: a packet with a wrong sum" % (self.ip, flow["port"]))
            return
        if packet.flags & SYN:
            if flow["state"] == "opening":
                flow["state"], flow["ack"] = "open", packet.seq + 1
                flow["seq"] += 1
                self.transmit(self.packet(flow, ACK))
            return
        if packet.data and packet.seq == flow["ack"]:
            flow["ack"] += len(packet.data)
            text = packet.data.decode().split("\r\n\r\n")[1]
            flow["answers"].append(text)
            if flow["request"]:
                self.deployment.record("requester %s:%d: %s -> %s" % (
                    self.ip, flow["port"], flow["request"]["name"], text))
            flow["request"] = None
        if packet.data:
            self.transmit(self.packet(flow, ACK))

    def resend(self):
        now = time.monotonic()
        for flow in self.flows.values():
            if flow["state"] == "opening" and now >= flow["due"]:
                if flow["copies"] < 3:
                    self.send_syn(flow)
                else:
                    flow["state"] = "failed"
            it = flow["request"]
            if flow["state"] == "open" and it and now >= it["due"]:
                self.transmit(it["packet"])
                it["due"] = now + RESEND_TIMES[min(it["count"], 7)]
                it["count"] += 1
