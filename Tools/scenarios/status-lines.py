"""A backend server whose status lines are not those of HTTP, and its callers.

Each caller must get an answer of the node's own that says that the outcome is
unknown, never the status that the server sent and never for want of an answer.
"""

import argparse
import http.client
import socket
import threading
import time
import urllib.request

LINES = [
    "HTTP/1.1 000 Unknown",
    "HTTP/1.0 000 Unknown",
    "HTTP/1.1 000 ",
    "HTTP/1.1 000",
    "HTTP/1.1 001 Unknown",
    "HTTP/1.1 099 Unknown",
    "HTTP/1.1 600 Unknown",
    "HTTP/1.1 999 Unknown",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 -01 OK",
    "HTTP/1.1 101 Switching Protocols",
    # Interim responses have no body, so its bytes are no response.
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 199 Odd",
    "HTTP/3.1 200 OK",
    "HTTP 200 OK",
    "200 OK",
]
# The result code of a request that may have run and has no answer.
OUTCOME_UNKNOWN = "200"
ANNOUNCE_SECONDS = 0.5
ATTEMPTS = 20


class Server:
    """Answers /prices/NUMBER with the line of that number, others with 200."""

    def __init__(self, admin):
        self.admin = admin
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def announce(self):
        port = self.listener.getsockname()[1]
        body = f"[server odd]\nservice = price-catalogue\nslots = 6\naddress = 127.0.0.1:{port}\n"
        while True:
            try:
                urllib.request.urlopen(
                    f"http://{self.admin}/v1/servers", body.encode(), timeout=2
                )
            except OSError:
                pass
            time.sleep(ANNOUNCE_SECONDS)

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        while chunk := connection.recv(65536):
            data += chunk
            if b"\r\n\r\n" not in data:
                continue
            name = data.split(b" ")[1].rsplit(b"/", 1)[1]
            line = LINES[int(name)] if name.isdigit() else "HTTP/1.1 200 OK"
            connection.sendall(
                line.encode() + b"\r\nX-Origin: server\r\nContent-Length: 2\r\n\r\nok"
            )
            data = b""


def ask(node, path):
    connection = http.client.HTTPConnection(node, timeout=10)
    connection.request("GET", path)
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--admin", required=True, help="IP:port beside the server")
    parser.add_argument("--node", required=True, nargs="+", help="IP:port")
    options = parser.parse_args()
    Server(options.admin)
    failed = False
    for node in options.node:
        for _ in range(ATTEMPTS):
            if ask(node, "/prices/ordinary").status == 200:
                break
            time.sleep(ANNOUNCE_SECONDS)
        else:
            raise SystemExit(f"FAILED: {node} serves no ordinary request")
        for number, line in enumerate(LINES):
            try:
                answer = ask(node, f"/prices/{number}")
                result = answer.getheader("X-Zinnia-Result")
                seen = f"status {answer.status}, result {result}"
                held = answer.status == 504 and result == OUTCOME_UNKNOWN
                held = held and not answer.getheader("X-Origin")
            except (http.client.HTTPException, OSError) as error:
                seen, held = repr(error), False
            print("ok:" if held else "FAILED:", node, repr(line), "->", seen)
            failed = failed or not held
        if ask(node, "/prices/ordinary").status != 200:
            print("FAILED:", node, "no longer serves an ordinary request")
            failed = True
    raise SystemExit(1 if failed else 0)


main()
