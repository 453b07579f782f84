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
# The rounds of a crowd that closes its connections and opens new ones.
CHURN_ROUNDS = 12
CHURN_QUIET_SECONDS = 0.3
# The answers that servers are asked for, and how long they work on a request.
ANSWER_BYTES = 7_000_000
REMOTE_ANSWER_BYTES = 3 << 20
WORK_MICROS = 3_000_000


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


def asking_for(path, answer):
    return [f"GET {path}?answer-bytes={answer} HTTP/1.1\r\nHost: crowd\r\n\r\n".encode()]


def with_trailers(path):
    """A chunked request whose trailer section stops short of its last line."""
    lines = filled_head(path, odd_line, "")
    start = head(path, "Transfer-Encoding: chunked\r\n") + b"1\r\nx\r\n0\r\n"
    return [start + lines[lines.index(b"crowd\r\n") + 7 : -2]]


def with_extensions(path):
    """Chunks of one byte, each with an extension of 4 KiB."""
    one = b"1;e=" + b"x" * 4096 + b"\r\nx\r\n"
    return [head(path, "Transfer-Encoding: chunked\r\n") + one * 64 + one[:4000]]


def pipelined(path):
    """A request that the server works on, and a long one behind it."""
    first = f"GET {path}?work-us={WORK_MICROS} HTTP/1.1\r\nHost: crowd\r\n\r\n"
    second = with_length(path, 1 << 20, (1 << 20) - 1)
    return [first.encode()] + second


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
    if kind == "byte-chunks":
        return 600, True, chunked(path, 1, 400_000)
    if kind == "medium-chunks":
        return 160, True, chunked(path, 64 << 10, (4 << 20) - (64 << 10))
    if kind == "trailers":
        return 600, True, with_trailers(path)
    if kind == "chunk-extensions":
        return 600, True, with_extensions(path)
    if kind == "pipelined":
        return 600, True, pipelined(path)
    if kind == "churn":
        return 300, False, with_length(path, 512 << 10, (512 << 10) - 1)
    if kind in ("ready-bodies", "admin-bodies"):
        return 400, True, with_length(path, 1 << 20, (1 << 20) - 1)
    if kind == "admin-lines":
        return 900, False, [filled_head(path, odd_line, "Content-Length: 10\r\n")]
    if kind == "remote-bodies":
        return 160, False, with_length(
            f"{path}?work-us={WORK_MICROS}", 4 << 20, 4 << 20
        )
    if kind == "unread-answers":
        return 160, False, asking_for(path, ANSWER_BYTES)
    if kind == "remote-answers":
        return 160, False, asking_for(path, REMOTE_ANSWER_BYTES)
    if kind in ("connections", "unstated-connections"):
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


def play(address, count, in_turn, data, reads=True, quiet=QUIET_SECONDS):
    chooser = selectors.DefaultSelector()
    clients = []
    both = selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0)
    size = PIECE_BYTES if in_turn else len(data)
    for _ in range(count):
        clients.append(Client(address, data, size))
        chooser.register(clients[-1].socket, both, clients[-1])
    start = last = time.monotonic()
    while time.monotonic() - last < quiet:
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
                if reads:
                    chooser.modify(client.socket, selectors.EVENT_READ, client)
                else:
                    chooser.unregister(client.socket)
    return clients


def play_kind(kind, address, path, body):
    count, in_turn, parts = crowd(kind, path, body)
    data = b"".join(parts)
    if kind == "churn":
        for _ in range(CHURN_ROUNDS):
            for client in play(address, count, in_turn, data, quiet=CHURN_QUIET_SECONDS):
                client.close()
    return play(address, count, in_turn, data, reads=not kind.endswith("-answers"))


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
    parser.add_argument(
        "--ordinary", required=True, nargs="+", help="IP:port/path=status"
    )
    parser.add_argument("--pid", required=True, type=int, nargs="+")
    parser.add_argument("--memory-mb", required=True, type=int)
    parser.add_argument("--descriptors", required=True, type=int)
    options = parser.parse_args()

    at_rest = [peak_kb(pid) for pid in options.pid]
    clients = play_kind(options.kind, options.address, options.path, options.body)
    failures = []
    fds = []
    try:
        fds = [descriptors(pid) for pid in options.pid]
        for request in options.ordinary:
            place, wanted = request.split("=")
            target, path = place.split("/", 1)
            status = ordinary(host_port(target), "/" + path, wanted)
            if status != wanted:
                failures.append(f"{place} was answered {status}, not {wanted}")
    except OSError as error:
        failures.append(f"a process has ended: {error}")
    peaks = [peak_kb(pid) for pid in options.pid]
    for peak in peaks:
        if peak is None:
            failures.append("a process has ended")
        elif peak > options.memory_mb << 10:
            failures.append(f"peak of memory above {options.memory_mb} MB")
    if any(count > options.descriptors for count in fds):
        failures.append(f"more than {options.descriptors} descriptors")
    answers = {}
    for client in clients:
        answers[client.status or "none"] = answers.get(client.status or "none", 0) + 1
    print(
        f"{options.kind}: {len(clients)} clients, "
        f"{sum(c.open for c in clients)} still open, "
        f"sent {sum(c.sent for c in clients) >> 10} kB, answers {answers}; "
        f"at rest {at_rest} kB, peak {peaks} kB, descriptors {fds}"
    )
    for failure in failures:
        print("FAILED:", failure)
    sys.exit(1 if failures else 0)


main()
