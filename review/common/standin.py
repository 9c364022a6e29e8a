"""Stand-ins for the platform, hosts, requesters and the operator, and a small deployment of the real programs.

All addresses are loopback addresses. Only the Python standard library is used.
"""

import http.client
import json
import os
import random
import re
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
import zlib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]

SYN, ACK, FIN, RST, BOUNCED = 4, 128, 8, 64, 16
HEADER = struct.Struct(">IIIHHIIIHB3s")

DATAGRAM_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
OUTBOUND_PORT = 8168
APP_PORT = 8080
INTERNAL_PORT = 7720

SYN_TIMES = (0.0, 0.2, 0.6)
SYN_END = 1.4

BOUNDS = {
    "seed-lag-s": 3, "reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catchup-s": 4, "drain-ms": 3000, "grace-s": 6,
    "loss-slack-ms": 200, "config-ms": 3000, "rollback-slack-ms": 250, "stretch-ms": 12000, "warmup-factor": 1.5,
    "warmup-slack": 5, "evacuate-ms": 5000, "recover-s": 12, "stray-ms": 2000, "flow-ttl-s": 60,
}


class CannotRun(Exception):
    """The case could not be set up; the result says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a flow. `src` and `dst` are (address, port) with the address as text."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0, pad=b"\0\0\0", check=None):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.data, self.echo, self.pad, self.check = data, echo, pad, check

    def signed(self):
        """The fields that `sum` covers: all but echo, pad and BOUNCED."""
        body = HEADER.pack(0, self.seq, self.ack, self.dst[1], self.src[1], ip_number(self.dst[0]),
                           ip_number(self.src[0]), 0, len(self.data), self.flags & ~BOUNCED, b"\0\0\0")
        return zlib.crc32(b"key" + body + self.data) or 1

    def encode(self):
        check = self.signed() if self.check is None else self.check
        return HEADER.pack(self.echo, self.seq, self.ack, self.dst[1], self.src[1], ip_number(self.dst[0]),
                           ip_number(self.src[0]), check, len(self.data), self.flags, self.pad) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEADER.size:
            return None
        echo, seq, ack, dport, sport, dst, src, check, size, flags, pad = HEADER.unpack_from(raw)
        data = raw[HEADER.size:]
        if len(data) != size:
            return None
        return Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, data, echo, pad, check)

    def is_genuine(self):
        return self.check == self.signed()

    def names(self):
        flags = [n for n, f in (("SYN", SYN), ("ACK", ACK), ("FIN", FIN), ("RST", RST), ("BOUNCED", BOUNCED))
                 if self.flags & f]
        return "+".join(flags) or "none"


def render(template, fields):
    """Fills in a settings template as the platform's pages describe it."""

    def value(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            it = scope
            for part in path.split("."):
                if isinstance(it, dict) and part in it:
                    it = it[part]
                elif isinstance(it, list) and part.isdigit() and int(part) < len(it):
                    it = it[int(part)]
                else:
                    it = None
                    break
            if it is not None:
                return it
        return None

    def text(it):
        if it is None:
            return ""
        if isinstance(it, bool):
            return "true" if it else "false"
        if isinstance(it, list):
            return ",".join(text(e) for e in it)
        return str(it)

    def fill(part, scopes, last=True):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            it = value(match[2], scopes)
            if match[1] == "^":
                return fill(match[3], scopes) if not it else ""
            if isinstance(it, list):
                return "".join(fill(match[3], scopes + [e], i == len(it) - 1) for i, e in enumerate(it))
            return fill(match[3], scopes) if it else ""

        part = section.sub(expand, part)
        part = part.replace("{{,}}", "" if last else ",")
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: text(value(m[1], scopes)), part)

    return fill(template, [fields])


class Process:
    """One of the project's programs on one machine."""

    def __init__(self, deployment, name, role, fields):
        self.deployment, self.name, self.role, self.fields = deployment, name, role, fields
        self.settings = deployment.folder / f"{name}.settings"
        self.child = None
        self.starts = 0

    def start(self, bootstrap=False):
        fields = dict(self.fields, bootstrap=bootstrap)
        template = (REPOSITORY / self.role["template"]).read_text()
        self.settings.write_text(render(template, fields))
        words = [str(self.settings) if w == "/etc/ibisdyke/node.toml" else w for w in self.role["run"].split()]
        self.starts += 1
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(words, cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.deployment.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.child.send_signal(number)

    def stop(self):
        if self.child is None or self.child.poll() is not None:
            return
        self.child.send_signal(signal.SIGCONT)
        self.child.kill()
        self.child.wait()

    def has_ended(self):
        return self.child is not None and self.child.poll() is not None


class Deployment:
    """A small deployment on loopback addresses, started with the commands and templates of the deploy file."""

    def __init__(self, record, services, controls=3, balancers=2, zones=("a", "b", "c"), heartbeat_ms=1200):
        self.record, self.services, self.zones = record, services, zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = self._free_block()
        self.deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.heartbeat_ms = heartbeat_ms
        self.processes = {}
        self.control_ips = [self.ip(1, i) for i in range(controls)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in self.control_ips[:3]]
        for i, ip in enumerate(self.control_ips):
            name = f"core-{i + 1}"
            self._add(name, "control", ip, zones[i % len(zones)],
                      {"listen": {"control": f"{ip}:{CONTROL_PORT}"}, "data-dir": str(self.folder / f"data-{name}"),
                       "tolerance-member": True})
        self.balancer_ips = []
        for i in range(balancers):
            ip = self.ip(2, i)
            self.balancer_ips.append(ip)
            self._add(f"front-{i + 1}", "balancer", ip, zones[i % len(zones)],
                      {"listen": {"datagram-addr": f"{ip}:{DATAGRAM_PORT}", "ready": f"{ip}:{READY_PORT}"}})
        self.sides = {}
        n = 0
        for service, count in services.items():
            for i in range(count):
                ip = self.ip(3, n)
                n += 1
                name = f"side-{service}-{i + 1}"
                self.sides[name] = (service, ip, zones[i % len(zones)])
                self._add(name, "agent", ip, zones[i % len(zones)],
                          {"listen": {"datagram-addr": f"{ip}:{DATAGRAM_PORT}", "ready": f"{ip}:{READY_PORT}",
                                      "outbound": f"{ip}:{OUTBOUND_PORT}", "control": f"{ip}:{CONTROL_PORT}"},
                           "service": service, "app": f"{ip}:{APP_PORT}"})

    def ip(self, kind, i):
        return f"{self.block}.{kind * 40 + i + 1}"

    @staticmethod
    def _free_block():
        for _ in range(50):
            block = f"127.{random.randint(40, 220)}.{random.randint(1, 250)}"
            try:
                for port in (DATAGRAM_PORT, CONTROL_PORT, INTERNAL_PORT):
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((f"{block}.41", port))
                return block
            except OSError:
                continue
        raise CannotRun("no free loopback block")

    def _add(self, name, role, ip, zone, extra):
        role_entry = self.deploy["roles"][role]
        fields = {
            "node-name": name, "role": role, "machine-class": role_entry["on"], "serves": role_entry["serves"],
            "ip": ip, "zone": zone, "region": "r", "internal-port-range": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": self.seeds, "tolerance-member": False, "discovery": "local", "entry": "announce",
            "heartbeat-ms": self.heartbeat_ms, "flow-hash": "steady", "deploy-mode": "agent",
            "zones": {z: "r" for z in self.zones},
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
        }
        fields.update(extra)
        self.processes[name] = Process(self, name, role_entry, fields)

    def start(self):
        for it in self.processes.values():
            it.start(bootstrap=True)

    def stop(self):
        for it in self.processes.values():
            it.stop()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """The operator: picks a control machine, follows two redirects, and moves on after a failure."""

    def __init__(self, deployment):
        self.ips, self.record = list(deployment.control_ips), deployment.record
        self.next = 0

    def call(self, method, path, body=None, ip=None, timeout=1.0):
        """One call to one machine. Returns (status, body); status 0 means that there was no response."""
        host, port = ip, CONTROL_PORT
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(host, port, timeout=timeout)
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body=body, headers=headers)
                answer = connection.getresponse()
                data = answer.read()
                connection.close()
            except OSError:
                return 0, b""
            except http.client.HTTPException:
                return 0, b""
            if answer.status != 307:
                return answer.status, data
            match = re.match(r"http://([^:/]+):(\d+)(/.*)", answer.headers["Location"])
            host, port, path = match[1], int(match[2]), match[3]
        return answer.status, data

    def order(self, method, path, body=None, seconds=10.0):
        """Sends an order until it has a clear response. Returns (status, body)."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ip = self.ips[self.next % len(self.ips)]
            status, data = self.call(method, path, body, ip)
            if status and status < 500 and status not in (307, 408, 429):
                self.record.write(f"operator {method} {path} at {ip}: {status}")
                return status, data
            self.next += 1
            time.sleep(0.1)
        self.record.write(f"operator {method} {path}: no clear response")
        return 0, b""


def configuration(version, routes, services, idle_timeout_ms=15000, cold=(2.0, 0.0)):
    """A configuration. `routes` is a list of (name, address, port, kind, target), where the target is the name of a
    service or a dict of services with weights."""
    out = []
    for name, address, port, kind, target in routes:
        it = {"name": name, "host": address, "path-prefix": f"/{port}/", "kind": kind, "timeout-ms": 5000,
              "latency-slo-ms": 500, "priority": 2, "attempts": 2}
        if isinstance(target, dict):
            it["weighted-split"] = [{"service": s, "weight": w} for s, w in target.items()]
        else:
            it["service"] = target
        out.append(it)
    return {"version": version, "routes": out,
            "services": [{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False,
                          "warmup-s": cold[0], "warmup-per-s": cold[1]} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": idle_timeout_ms}}


class Host:
    """An application host beside an agent. Answers each request with its own name."""

    def __init__(self, deployment, side, record):
        self.name, self.record = side, record
        self.service, self.ip, self.zone = deployment.sides[side]
        self.heartbeat = deployment.heartbeat_ms / 1000
        self.id = f"i-{random.getrandbits(32):08x}"
        self.flows = {}
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.slots = 5
        self.warmup_until = 0.0
        self.opened = []
        self.acks = {}
        self.running = True
        self.answers = True
        self.received = []
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind((self.ip, APP_PORT))
        self.sock.settimeout(0.2)
        self.threads = [threading.Thread(target=self._read, daemon=True),
                        threading.Thread(target=self._report, daemon=True)]
        for it in self.threads:
            it.start()

    def stop(self):
        self.running = False
        for it in self.threads:
            it.join()
        self.sock.close()

    def report(self):
        self.sequence += 1
        left = max(0, int((self.warmup_until - time.monotonic()) * 1000))
        state = self.state
        body = json.dumps({"service": self.service, "address": f"{self.ip}:{APP_PORT}", "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": state, "warmup-left-ms": left,
                           "sequence": self.sequence, "born": self.born})
        try:
            connection = http.client.HTTPConnection(self.ip, CONTROL_PORT, timeout=1.0)
            connection.request("PUT", f"/api/instances/{self.id}", body=body,
                               headers={"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            status = 0
        if 200 <= status < 300 and state not in self.acks:
            self.acks[state] = time.monotonic()
            self.record.write(f"{self.name}: report {state} acknowledged")
        return status

    def _report(self):
        while self.running:
            status = self.report()
            end = time.monotonic() + (self.heartbeat if status else 0.2)
            while self.running and time.monotonic() < end:
                time.sleep(0.02)

    def send(self, packet):
        try:
            self.sock.sendto(packet.encode(), (self.ip, OUTBOUND_PORT))
        except OSError:
            pass

    def _read(self):
        while self.running:
            try:
                raw = self.sock.recv(4096)
            except socket.timeout:
                continue
            except OSError:
                continue
            packet = Packet.decode(raw)
            if packet is None or not packet.is_genuine():
                self.record.write(f"{self.name}: got a packet that its sender did not write so")
                continue
            self.handle(packet)

    def leave(self):
        """Tells that the host has stopped, and ends."""
        try:
            connection = http.client.HTTPConnection(self.ip, CONTROL_PORT, timeout=1.0)
            connection.request("DELETE", f"/api/instances/{self.id}")
            connection.getresponse().read()
            connection.close()
        except (OSError, http.client.HTTPException):
            pass
        self.stop()

    def handle(self, packet):
        key = (packet.src, packet.dst)
        self.received.append((time.monotonic(), key))
        known = self.flows.get(key)
        if packet.flags & SYN:
            if known is None:
                known = self.flows[key] = {"seq": random.getrandbits(31), "open": False, "next": packet.seq + 1,
                                           "sent": 0, "answers": {}}
                self.opened.append((time.monotonic(), key))
                self.record.write(f"{self.name}: took the opening packet of flow {packet.src[1]}")
            self.send(Packet(packet.dst, packet.src, SYN | ACK, known["seq"], packet.seq + 1))
            return
        if known is None or not (known["open"] or packet.ack == (known["seq"] + 1) & 0xFFFFFFFF):
            packet.flags |= BOUNCED
            packet.pad = b"\0\0\0"
            self.send(packet)
            return
        known["open"] = True
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and self.answers:
            # The answer to a request is repeated when the request is retransmitted; it runs once.
            if packet.seq not in known["answers"]:
                self.record.write(f"{self.name}: ran request {packet.data.decode()} of flow {packet.src[1]}")
                known["answers"][packet.seq] = (known["seq"] + 1 + known["sent"], b"answer " + packet.data)
                known["sent"] += len(packet.data) + 7
            seq, data = known["answers"][packet.seq]
            self.send(Packet(packet.dst, packet.src, ACK, seq, packet.seq + len(packet.data), data))
        if packet.flags & FIN:
            self.send(Packet(packet.dst, packet.src, ACK | FIN, known["seq"] + 1 + known["sent"], packet.seq + 1))


class Network:
    """The platform's routers and the requesters' side: one address, many flows."""

    def __init__(self, deployment, record):
        self.record, self.deployment = record, deployment
        self.ip = deployment.ip(4, 0)
        self.balancers = list(deployment.balancer_ips)
        self.ready = {ip: False for ip in self.balancers}
        self.misses = {ip: 2 for ip in self.balancers}
        self.flows = {}
        self.sport = 40000
        self.running = True
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind((self.ip, DATAGRAM_PORT))
        self.sock.settimeout(0.2)
        self.threads = [threading.Thread(target=self._read, daemon=True)]
        self.threads += [threading.Thread(target=self._probe, args=(ip,), daemon=True) for ip in self.balancers]
        for it in self.threads:
            it.start()

    def stop(self):
        self.running = False
        for it in self.threads:
            it.join()
        self.sock.close()

    def _probe(self, ip):
        while self.running:
            begin = time.monotonic()
            try:
                connection = http.client.HTTPConnection(ip, READY_PORT, timeout=0.5)
                connection.request("GET", "/api/readiness")
                good = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                good = False
            self.misses[ip] = 0 if good else self.misses[ip] + 1
            self.ready[ip] = good or (self.ready[ip] and self.misses[ip] < 2)
            time.sleep(max(0.0, 0.5 - (time.monotonic() - begin)))

    def route(self, packet):
        """Steady hash: only the flows of a node that leaves the rotation move."""
        usable = [ip for ip in self.balancers if self.ready[ip]] or self.balancers
        key = f"{packet.src}{packet.dst}".encode()
        return max(usable, key=lambda ip: zlib.crc32(ip.encode() + key))

    def send(self, packet, to=None):
        try:
            self.sock.sendto(packet.encode(), (to or self.route(packet), DATAGRAM_PORT))
        except OSError:
            pass

    def _read(self):
        while self.running:
            try:
                raw = self.sock.recv(4096)
            except socket.timeout:
                continue
            except OSError:
                continue
            packet = Packet.decode(raw)
            flow = self.flows.get(packet.dst[1]) if packet else None
            if flow is not None:
                flow.handle(packet)

    def open(self, service, wait=True):
        self.sport += 1
        flow = Flow(self, (self.ip, self.sport), service)
        self.flows[self.sport] = flow
        return flow


class Flow:
    """One flow of a requester."""

    def __init__(self, network, own, service):
        self.network, self.own, self.service = network, own, service
        self.seq, self.ack = random.getrandbits(31), 0
        self.is_open, self.reset_at, self.refused = False, None, False
        self.host_seq = None
        self.answers = []
        self.waiting = None
        self.changed = threading.Condition()

    def handle(self, packet):
        with self.changed:
            if packet.flags & RST:
                genuine = packet.is_genuine() and packet.check != 0
                near = not self.is_open or min((packet.seq - self.ack) & 0xFFFFFFFF,
                                               (self.ack - packet.seq) & 0xFFFFFFFF) <= 76800
                if near and self.reset_at is None:
                    self.reset_at = time.monotonic()
                    self.reset_by_host = genuine
                    self.network.record.write(
                        f"requester: flow {self.own[1]} got a reset from {'its host' if genuine else 'the system'}"
                        f" (flow {'open' if self.is_open else 'not open'})")
            elif packet.flags & SYN:
                if not self.is_open and self.reset_at is None:
                    self.is_open = True
                    self.seq += 1
                    self.ack = packet.seq + 1
                    self.network.send(Packet(self.own, self.service, ACK, self.seq, self.ack))
            elif packet.data and self.waiting is not None and packet.seq == self.ack & 0xFFFFFFFF:
                self.ack += len(packet.data)
                self.answers.append(packet.data)
                self.seq += len(self.waiting)
                self.waiting = None
                self.network.send(Packet(self.own, self.service, ACK, self.seq, self.ack))
            self.changed.notify_all()

    def connect(self):
        """Sends the SYN and its copies. Returns whether the flow opened."""
        begin = time.monotonic()
        first = self.seq
        for i, at in enumerate(SYN_TIMES + (SYN_END,)):
            with self.changed:
                self.changed.wait_for(lambda: self.is_open or self.reset_at, begin + at - time.monotonic())
                if self.is_open or self.reset_at:
                    return self.is_open
            if i < len(SYN_TIMES):
                self.network.send(Packet(self.own, self.service, SYN, first, i))
        return False

    def request(self, text, seconds=5.0):
        """Sends a request with retransmissions after 200 ms, doubling up to 1.6 s. Returns the answer or None."""
        data = text.encode()
        with self.changed:
            self.waiting = data
            n = len(self.answers)
        begin = time.monotonic()
        pause, due = 0.2, 0.0
        while time.monotonic() - begin < seconds:
            self.network.send(Packet(self.own, self.service, ACK, self.seq, self.ack, data))
            due += pause
            pause = min(pause * 2, 1.6)
            with self.changed:
                self.changed.wait_for(lambda: len(self.answers) > n or self.reset_at, begin + due - time.monotonic())
                if len(self.answers) > n:
                    return self.answers[-1].decode()
                if self.reset_at:
                    return None
        return None


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(what)


class Case:
    """Runs a case: sets the deployment up, plays it, and reports the result as an exit status."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.trouble = "--without-trouble" not in sys.argv[1:]  # run.sh sets it for TROUBLE=0.
        self.cleanup = []

    def run(self, play):
        status = 2
        # An ended case must end its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(SystemExit(2)))
        try:
            broken = play(self)
            status = 1 if broken else 0
            self.record.write("result: the rule was broken" if broken else "result: the rule held")
        except CannotRun as e:
            self.record.write(f"result: could not run: {e}")
        finally:
            for it in reversed(self.cleanup):
                try:
                    it.stop()
                except Exception as e:  # The other parts must be ended too.
                    self.record.write(f"while ending: {e}")
        raise SystemExit(status)
