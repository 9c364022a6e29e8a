"""A small deployment on loopback for the scripts of the third review.

Starts the project's own programs with the commands of deploy/system.toml and the settings templates beside it, and
contains stand-ins for requesters, hosts, the operator and the links between machines, as PROTOCOL.md describes them.
Uses the standard library only. All addresses are loopback addresses.
"""

import asyncio
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
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

SYN, ACK, FIN, RST, BOUNCED = 4, 128, 8, 64, 16
HEADER = struct.Struct(">IIIHHIIIHB3x")
CHECKSUM = 0x51515151

DATAGRAM_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT, APP_PORT = 8172, 8167, 8166, 8301, 8080
INTERNAL_PORTS = [7720, 7735]
BOUNDS = {"drain-ms": 3000, "config-ms": 3000, "rollback-slack-ms": 250, "contact-ms": 4000, "flow-ttl-s": 60}
HEARTBEAT_MS = 770


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


# Packets ----------------------------------------------------------------------------------------------------------


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, checksum=CHECKSUM):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.checksum = echo, checksum

    def encode(self):
        return HEADER.pack(self.echo, self.seq, self.ack, self.dport, self.sport, ip_number(self.dst),
                           ip_number(self.src), self.checksum, len(self.data), self.flags) + self.data

    @staticmethod
    def decode(raw):
        echo, seq, ack, dport, sport, dst, src, checksum, length, flags = HEADER.unpack_from(raw)
        if len(raw) != HEADER.size + length:
            raise ValueError("length")
        return Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, raw[HEADER.size:], echo, checksum)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, callback):
        self.callback = callback

    def datagram_received(self, data, addr):
        self.callback(data)

    def error_received(self, exc):
        pass


async def open_udp(address, callback):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(callback), local_addr=address)
    return transport


# HTTP -------------------------------------------------------------------------------------------------------------


async def http(method, address, path, body=None, timeout=1.0, source=None):
    """Makes one call. Returns (status, headers, body); status 0 means that there was no answer."""
    writer = None

    async def call():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, local_addr=(source, 0) if source else None)
        content = b"" if body is None else body
        head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\nContent-Length: {len(content)}\r\n"
        head += "Content-Type: application/json\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + content)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines[1:] if ":" in x)}
        if "content-length" in headers:
            content = await reader.readexactly(int(headers["content-length"]))
        else:
            content = await reader.read()
        return int(lines[0].split()[1]), headers, content

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


# Settings ---------------------------------------------------------------------------------------------------------


def render(template, values):
    """Fills in the part of the provider's template language that the project's templates use."""

    def lookup(name):
        it = values
        for part in name.split("."):
            it = it[int(part)] if isinstance(it, list) else (it or {}).get(part)
        return it

    def text(it):
        if isinstance(it, list):
            return ",".join(map(str, it))
        return "" if it is None else str(it)

    def section(match):
        positive, name, content = match.group(1) == "#", match.group(2), match.group(3)
        value = lookup(name)
        if not positive:
            return "" if value else content
        if isinstance(value, list):
            rows = [content.replace("{{.}}", str(x)).replace("{{,}}", "," if i + 1 < len(value) else "")
                    for i, x in enumerate(value)]
            return "".join(rows)
        return content if value else ""

    result = re.sub(r"\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.-]+)\}\}", lambda m: text(lookup(m.group(1))), result)


def role(name):
    """Returns the command and the template of a role in the deploy file."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    part = text.split(f"[roles.{name}]")[1].split("[roles.")[0]
    command = re.search(r'^run = "(.*)"', part, re.M).group(1)
    template = re.search(r'^template = "(.*)"', part, re.M).group(1)
    return command.split(), open(os.path.join(ROOT, template)).read()


class Machine:
    """A machine with one process of the system."""

    def __init__(self, deployment, name, kind, ip, zone, **extra):
        self.deployment, self.name, self.kind, self.ip, self.zone = deployment, name, kind, ip, zone
        self.extra, self.process, self.frozen = extra, None, False
        self.started_at = None

    def settings(self):
        values = {"node-name": self.name, "zone": self.zone, "ip": self.ip, "seeds": self.deployment.seeds(),
                  "bootstrap": self.started_at is None, "internal-port-range": INTERNAL_PORTS,
                  "heartbeat-ms": HEARTBEAT_MS, "bounds": BOUNDS, "fault-tolerance": {"machines": 1},
                  "listen": {"datagram-addr": f"{self.ip}:{DATAGRAM_PORT}", "ready": f"{self.ip}:{READY_PORT}",
                             "control": f"{self.ip}:{CONTROL_PORT}", "outbound": f"{self.ip}:{OUTBOUND_PORT}"},
                  "data-dir": os.path.join(self.deployment.folder, self.name + ".data"), **self.extra}
        _, template = role(self.kind)
        result = render(template, values)
        if self.kind == "control":
            # Other machines reach this one through the stand-in for the links.
            result += f"\nadvertise-peer={self.deployment.link_address(self)}:{INTERNAL_PORTS[0]}\n"
        return result

    def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".settings")
        with open(path, "w") as file:
            file.write(self.settings())
        if self.kind == "control":
            os.makedirs(os.path.join(self.deployment.folder, self.name + ".data"), exist_ok=True)
        command, _ = role(self.kind)
        command = [os.path.join(ROOT, command[0])] + [path if x == "/etc/ibisdyke/node.toml" else x
                                                      for x in command[1:]]
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                        stdin=subprocess.DEVNULL)
        self.started_at = time.monotonic()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)

    async def state(self):
        status, _, body = await http("GET", (self.ip, 9464), "/state")
        return json.loads(body) if status == 200 else {}


class Link:
    """The links to the peer port of a control machine: forwards bytes, unless the sender's machine is cut off.

    Bytes that arrive during a cut are held until it ends, and new connections stay without an answer."""

    def __init__(self, deployment, machine):
        self.deployment, self.machine = deployment, machine

    async def start(self):
        address = self.deployment.link_address(self.machine)
        self.server = await asyncio.start_server(self.serve, address, INTERNAL_PORTS[0])

    async def serve(self, reader, writer):
        sender = writer.get_extra_info("peername")[0]
        try:
            await self.deployment.connected(sender)
            to = (self.machine.ip, INTERNAL_PORTS[0])
            other_reader, other_writer = await asyncio.open_connection(*to, local_addr=(sender, 0))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, other_writer, sender), self.copy(other_reader, writer, sender))

    async def copy(self, reader, writer, sender):
        try:
            while data := await reader.read(65536):
                await self.deployment.connected(sender)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Host:
    """An application host beside an agent."""

    def __init__(self, deployment, machine, service, slots=2):
        self.deployment, self.machine, self.service, self.slots = deployment, machine, service, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = (machine.ip, APP_PORT)
        self.flows, self.sequence, self.state = {}, 0, "ready"
        self.born = int(time.time() * 1000)

    async def start(self):
        self.udp = await open_udp(self.address, self.on_datagram)
        self.task = asyncio.create_task(self.report_forever())

    def stop(self):
        self.task.cancel()
        self.udp.close()

    async def report(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.machine.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "warmup-left-ms": 0,
                "sequence": self.sequence, "born": self.born}
        status, _, _ = await http("PUT", (self.machine.ip, CONTROL_PORT), f"/api/instances/{self.id}",
                                  json.dumps(body).encode())
        return status

    async def report_forever(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def send(self, packet):
        self.udp.sendto(packet.encode(), (self.machine.ip, OUTBOUND_PORT))

    def on_datagram(self, raw):
        it = Packet.decode(raw)
        key = (it.src, it.sport, it.dst, it.dport)
        if it.flags & SYN:
            flow = self.flows.setdefault(key, {"seq": random.getrandbits(31), "open": False, "answer": None,
                                               "first": time.monotonic()})
            return self.send(Packet(it.dst, it.dport, it.src, it.sport, SYN | ACK, flow["seq"], it.seq + 1))
        flow = self.flows.get(key)
        if flow is None:
            it.flags |= BOUNCED
            return self.send(it)
        if not flow["open"] and it.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
            return None
        flow["open"] = True
        if it.flags & FIN:
            return self.send(Packet(it.dst, it.dport, it.src, it.sport, FIN | ACK, it.ack, it.seq + 1))
        if it.data:
            if flow["answer"] is None:
                attempt = re.search(rb"X-Attempt-Id: (\S+)", it.data).group(1).decode()
                self.deployment.record("run", attempt=attempt, host=self.machine.name, service=self.service)
                content = f"{attempt} {self.machine.name}".encode()
                flow["answer"] = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(content), content)
            self.send(Packet(it.dst, it.dport, it.src, it.sport, ACK, it.ack, it.seq + len(it.data), flow["answer"]))
        return None


class Requester:
    """Opens a flow for each request, through a given front machine."""

    def __init__(self, deployment, ip):
        self.deployment, self.ip = deployment, ip
        self.flows, self.next_port, self.count = {}, 20000, 0

    async def start(self):
        self.udp = await open_udp((self.ip, DATAGRAM_PORT), self.on_datagram)

    def on_datagram(self, raw):
        it = Packet.decode(raw)
        queue = self.flows.get(it.dport)
        if queue is not None:
            queue.put_nowait(it)

    async def request(self, front, route):
        """Makes one request. Records when it was sent and what was answered, and returns the answer's text or None."""
        self.next_port += 1
        self.count += 1
        port, attempt = self.next_port, f"a{self.count}"
        queue = self.flows[port] = asyncio.Queue()
        self.deployment.record("sent", attempt=attempt, front=front.name, route=f"{route[0]}:{route[1]}", port=port)
        answer = None
        try:
            answer = await asyncio.wait_for(self.exchange(front, route, port, attempt, queue), 3.0)
        except asyncio.TimeoutError:
            pass
        self.deployment.record("answered", attempt=attempt, answer=answer)
        del self.flows[port]
        return answer

    async def exchange(self, front, route, port, attempt, queue):
        def send(flags, seq, ack, data=b""):
            packet = Packet(self.ip, port, route[0], route[1], flags, seq, ack, data)
            self.udp.sendto(packet.encode(), (front.ip, DATAGRAM_PORT))

        seq = random.getrandbits(31)
        opening = None
        for copies, wait in ((0, 0.2), (1, 0.4), (2, 0.8)):
            send(SYN, seq, copies)
            try:
                opening = await asyncio.wait_for(queue.get(), wait)
                break
            except asyncio.TimeoutError:
                continue
        if opening is None or opening.flags & RST:
            return None
        data = f"GET / HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {attempt}\r\n\r\n".encode()
        wait = 0.2
        while True:
            send(ACK, seq + 1, opening.seq + 1, data)
            try:
                while True:
                    it = await asyncio.wait_for(queue.get(), wait)
                    if it.flags & RST:
                        return None
                    if it.data:
                        send(FIN | ACK, seq + 1 + len(data), it.seq + len(it.data))
                        return it.data.split(b"\r\n\r\n", 1)[1].decode()
            except asyncio.TimeoutError:
                wait = min(wait * 2, 1.6)


class Deployment:
    def __init__(self, case_folder, net):
        """`net` is the second number of the machines' addresses, so that cases can run at the same time."""
        self.net = net
        self.folder = tempfile.mkdtemp(prefix="ibisdyke-review-")
        self.machines, self.hosts, self.links, self.cut = [], [], [], set()
        self.began = time.monotonic()
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def record(self, what, **fields):
        self.record_file.write(f"{self.now():9.4f} {what} " + json.dumps(fields, sort_keys=True) + "\n")
        self.record_file.flush()

    def add(self, name, kind, number, zone, **extra):
        machine = Machine(self, name, kind, f"127.{self.net}.1.{number}", zone, **extra)
        self.machines.append(machine)
        return machine

    def add_agent(self, name, number, zone, service):
        machine = self.add(name, "agent", number, zone, service=service, app=f"127.{self.net}.1.{number}:{APP_PORT}")
        self.hosts.append(Host(self, machine, service))
        return machine

    def of(self, kind):
        return [it for it in self.machines if it.kind == kind]

    def host_of(self, machine):
        return next(it for it in self.hosts if it.machine is machine)

    def link_address(self, machine):
        return machine.ip.replace(f"127.{self.net}.1.", f"127.{self.net}.2.")

    def seeds(self):
        return [f"{self.link_address(it)}:{CONTROL_PORT}" for it in self.of("control")][:3]

    async def connected(self, sender):
        while sender in self.cut:
            await asyncio.sleep(0.02)

    async def start(self):
        for it in self.of("control"):
            link = Link(self, it)
            await link.start()
            self.links.append(link)
        for it in self.machines:
            it.start()
        for it in self.hosts:
            await it.start()

    async def order(self, method, path, body=None, limit=8.0):
        """An order of the operator, sent again until it has a clear response. Returns its status."""
        deadline = time.monotonic() + limit
        nodes = [(it.ip, CONTROL_PORT) for it in self.of("control")]
        at = random.randrange(len(nodes))
        while time.monotonic() < deadline:
            address, target = nodes[at % len(nodes)], path
            for _ in range(3):
                status, headers, _ = await http(method, address, target, body)
                if status != 307:
                    break
                found = re.match(r"http://([\d.]+):(\d+)(/.*)", headers.get("location", ""))
                if not found:
                    break
                address, target = (found.group(1), int(found.group(2))), found.group(3)
            if status and status < 500 and status not in (307, 404, 408, 429):
                self.record("order", method=method, path=path, status=status)
                return status
            at += 1
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} got no clear response")

    async def put_configuration(self, version, routes, services):
        """`routes` maps (host, port) to the name of a service."""
        body = {"version": version,
                "routes": [{"name": f"r-{host}-{port}", "host": host, "path-prefix": f"/{port}/", "kind": "idempotent",
                            "timeout-ms": 1000, "latency-slo-ms": 1000, "priority": 2, "service": service,
                            "attempts": 2} for (host, port), service in routes.items()],
                "services": [{"name": it, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False,
                              "warmup-s": 0.0, "warmup-per-s": 0.0} for it in services],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                           "idle-timeout-ms": 15000}}
        self.record("configuration", version=version, routes=[[f"{h}:{p}", s] for (h, p), s in routes.items()])
        status = await self.order("PUT", "/api/config", json.dumps(body).encode())
        if status != 200:
            raise CannotRun(f"the configuration was answered with {status}")

    async def wait_ready(self, limit=25.0):
        """Waits until all front and side machines answer their readiness probe."""
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            answers = [await http("GET", (it.ip, READY_PORT), "/api/readiness")
                       for it in self.of("balancer") + self.of("agent")]
            if all(status == 200 for status, _, _ in answers):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment did not become ready")

    def stop(self):
        for it in self.machines:
            it.kill()
        self.record_file.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, net, case):
    """Runs `case(deployment, trouble)`, which returns a list of breaks, and exits with the result of the case.

    The argument of the program, which run.sh chooses by TROUBLE, says whether the disruption takes place."""
    if sys.argv[1:] not in (["with-disruption"], ["without-disruption"]):
        print("usage: case.py with-disruption|without-disruption")
        raise SystemExit(2)
    deployment = Deployment(case_folder, net)
    trouble = sys.argv[1] == "with-disruption"
    deployment.record("begin", disruption=trouble)
    code = 2
    try:
        loop = asyncio.new_event_loop()
        breaks = loop.run_until_complete(asyncio.wait_for(case(deployment, trouble), 110))
        for it in breaks[:20]:
            deployment.record("break", text=it)
            print("break:", it)
        print(f"{len(breaks)} breaks")
        code = 1 if breaks else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        deployment.record("cannot-run", error=repr(e))
        print("cannot run:", repr(e))
    finally:
        deployment.stop()
    # Ends at once: connections that are still open need no orderly end.
    sys.stdout.flush()
    os._exit(code)
