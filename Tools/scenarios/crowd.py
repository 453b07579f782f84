"""Plays a crowd of clients against a process and checks that it holds.

Every client stays within the limits on the size of a request. Most stop just
short of the end of their request, and all keep their connections open until the
checks are done. The checks depend on no times: the process lives, its peak of
resident memory and its open descriptors are below a bound, and an ordinary
request is answered while the crowd is still connected.
"""

import argparse
import os
import selectors
import socket
import sys
import time

HEADER_BYTES = 16384
BODY_BYTES = 8 << 20
PIECE_BYTES = 64 << 10
# How long the crowd goes on without any byte sent or received. It ends the
# sending, and no check depends on it.
QUIET_SECONDS = 2
SENDING_SECONDS = 60
ORDINARY_ATTEMPTS = 20


def head(path, lines):
    return (f"POST {path} HTTP/1.1\r\nHost: crowd\r\n" + lines + "\r\n").encode()


def filled_head(path, line, last_lines):
    """A header section just below the limit, made of the lines line(0..)."""
    lines = []
    size = len(head(path, last_lines))
    while size + len(line(len(lines))) < HEADER_BYTES - 16:
        lines.append(line(len(lines)))
        size += len(lines[-1])
    return head(path, "".join(lines) + last_lines)


def odd_line(index):
    marks = "!#$%&'*+-.^_`|~"
    name = ""
    index += 1
    while index:
        index, digit = divmod(index, len(marks))
        name += marks[digit]
    return name + ":\r\n"


def with_length(path, size, sent):
    return [head(path, f"Content-Length: {size}\r\n") + b"x" * sent]


def chunked(path, chunk, total):
    one = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    return [head(path, "Transfer-Encoding: chunked\r\n") + one * (total // chunk)]


# Each kind of crowd: the number of clients, whether all send piece by piece in
# turn, and the bytes that each one sends.
def crowd(kind, path, body):
    if kind == "short-lines":
        lines = filled_head(path, lambda _: "a:\r\n", "Content-Length: 10\r\n")
        return 600, False, [lines + b"x" * 9]
    if kind == "odd-lines":
        lines = filled_head(path, odd_line, "Content-Length: 10\r\n")
        return 800, False, [lines + b"x" * 9]
    if kind == "whole-bodies":
        return 48, False, with_length(path, body, body)
    if kind == "stopping-bodies":
        return 48, True, with_length(path, body, body - 1)
    if kind == "large-chunks":
        return 48, True, chunked(path, 1 << 20, body - (1 << 20))
    if kind == "tiny-chunks":
        return 48, True, chunked(path, 8, 3 << 20)
    if kind == "control-bodies":
        return 200, True, with_length(path, 1 << 20, (1 << 20) - 1)
    if kind == "connections":
        return 1500, False, [b"POST " + path.encode()]
    raise SystemExit("unknown kind " + kind)


class Client:
    def __init__(self, address, data, piece):
        self.data = memoryview(data)
        self.piece = piece
        self.sent = 0
        self.status = ""
        self.open = True
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def close(self):
        self.open = False
        self.socket.close()


def play(address, count, in_turn, data):
    chooser = selectors.DefaultSelector()
    clients = []
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    size = PIECE_BYTES if in_turn else len(data)
    for _ in range(count):
        clients.append(Client(address, data, size))
        chooser.register(clients[-1].socket, both, clients[-1])
    start = last = time.monotonic()
    while time.monotonic() - last < QUIET_SECONDS:
        if time.monotonic() - start > SENDING_SECONDS:
            break
        for key, mask in chooser.select(0.1):
            client = key.data
            try:
                if mask & selectors.EVENT_READ:
                    answer = client.socket.recv(PIECE_BYTES)
                    last = time.monotonic()
                    client.status = client.status or answer[9:12].decode()
                    if not answer:
                        raise ConnectionResetError
                if mask & selectors.EVENT_WRITE:
                    end = client.sent + client.piece
                    client.sent += client.socket.send(client.data[client.sent : end])
                    last = time.monotonic()
            except BlockingIOError:
                continue
            except OSError:
                chooser.unregister(client.socket)
                client.close()
                continue
            if client.sent == len(client.data) and mask & selectors.EVENT_WRITE:
                chooser.modify(client.socket, selectors.EVENT_READ, client)
    return clients


def ordinary(address, path, wanted):
    for _ in range(ORDINARY_ATTEMPTS):
        try:
            with socket.create_connection(address, timeout=5) as client:
                client.sendall(
                    f"GET {path} HTTP/1.1\r\nHost: crowd\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                status = client.recv(4096)[9:12].decode()
                if status == wanted:
                    return status
        except OSError as error:
            status = str(error)
        time.sleep(0.25)
    return status


def peak_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    return None  # A process that has ended and was not waited for.


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def host_port(text):
    host, port = text.split(":")
    return host, int(port)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("kind")
    parser.add_argument("--address", required=True, type=host_port)
    parser.add_argument("--path", required=True)
    parser.add_argument("--body", type=int, default=BODY_BYTES)
    parser.add_argument("--ordinary", required=True, help="IP:port/path=status")
    parser.add_argument("--pid", required=True, type=int)
    parser.add_argument("--memory-mb", required=True, type=int)
    parser.add_argument("--descriptors", required=True, type=int)
    options = parser.parse_args()

    place, wanted = options.ordinary.split("=")
    target, path = place.split("/", 1)
    at_rest = peak_kb(options.pid)
    count, in_turn, parts = crowd(options.kind, options.path, options.body)
    clients = play(options.address, count, in_turn, b"".join(parts))
    failures = []
    peak = fds = None
    try:
        fds = descriptors(options.pid)
        status = ordinary(host_port(target), "/" + path, wanted)
        peak = peak_kb(options.pid)
        if status != wanted:
            failures.append(f"an ordinary request got {status}, not {wanted}")
    except OSError as error:
        failures.append(f"the process has ended: {error}")
    if peak is None:
        failures.append("the process has ended")
    elif peak > options.memory_mb << 10:
        failures.append(f"peak of memory above {options.memory_mb} MB")
    if fds is not None and fds > options.descriptors:
        failures.append(f"more than {options.descriptors} descriptors")
    answers = {}
    for client in clients:
        answers[client.status or "none"] = answers.get(client.status or "none", 0) + 1
    print(
        f"{options.kind}: {count} clients, {sum(c.open for c in clients)} still open, "
        f"sent {sum(c.sent for c in clients) >> 10} kB, answers {answers}; "
        f"at rest {at_rest} kB, peak {peak} kB, descriptors {fds}"
    )
    for failure in failures:
        print("FAILED:", failure)
    sys.exit(1 if failures else 0)


main()
