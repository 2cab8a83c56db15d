"""Starts of real nodes: signals that arrive early, ports that another process still holds,
descriptors that run out, and a log that nobody takes."""
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "build" / "pomelohead"
ADDRESS = "127.96.0.1"
STORE = "127.96.0.9:8142"  # nothing listens there: a node starts without its store
LIMIT_S = 20  # bounds a hang; no check depends on how long a step takes
SETTINGS = (f"node=n-1\nzone=bala\nregion=gwynedd\nip={ADDRESS}\nlisten.inbound={ADDRESS}:8146\n"
            f"listen.outbound={ADDRESS}:8147\nlisten.ready={ADDRESS}:8141\n"
            f"internalPorts=7380,7395\nservice=caller\nplatform.addr={STORE}\nbounds.graceS=0.5\n")


class StartsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory(prefix="pomelohead-")
        self.addCleanup(directory.cleanup)
        self.settings = pathlib.Path(directory.name) / "node.conf"
        self.log = pathlib.Path(directory.name) / "node.log"

    def start_node(self, max_files=None, output=None):
        with open(self.log, "wb") as log:
            node = subprocess.Popen(
                [str(PROGRAM), "node", "--platform", "--policy-file",
                 str(ROOT / "deploy" / "policy.json")], stdout=output or log, stderr=output or log,
                preexec_fn=lambda: max_files and resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max_files, max_files)),
                env=dict(os.environ, POMELOHEAD_CONFIG=str(self.settings)))
        self.addCleanup(node.wait)
        self.addCleanup(node.kill)
        return node

    @staticmethod
    def is_listening():
        try:
            socket.create_connection((ADDRESS, 8141), LIMIT_S).close()
            return True
        except OSError:
            return False

    def events(self):
        whole_lines = self.log.read_text("utf-8", "replace").split("\n")[:-1]
        return [json.loads(line)["event"] for line in whole_lines if line.startswith("{")]

    def wait(self, condition, what):
        end = time.monotonic() + LIMIT_S
        while not condition():
            if time.monotonic() > end:
                self.fail(f"timed out after {LIMIT_S} s: {what}\n{self.log.read_text()[-2000:]}")
            time.sleep(0.01)

    def start_node_that_reads_its_settings(self):
        """A node that has opened its settings file, and the file's other end."""
        self.settings.unlink(missing_ok=True)
        os.mkfifo(self.settings)
        node = self.start_node()
        pipe = open(self.settings, "wb")  # waits for the node
        self.settings.unlink()
        self.settings.write_text(SETTINGS, "utf-8")
        return node, pipe

    def test_signals_during_the_start_do_not_end_the_process(self):
        for signals in ("SIGTERM", "SIGINT", "SIGHUP SIGTERM", "SIGHUP SIGHUP SIGINT"):
            with self.subTest(signals):
                node, pipe = self.start_node_that_reads_its_settings()
                for name in signals.split():
                    node.send_signal(signal.Signals[name])
                with pipe:
                    pipe.write(SETTINGS.encode())
                self.assertEqual(node.wait(LIMIT_S), 0)
                self.assertEqual("reload_asked" in self.events(), "SIGHUP" in signals)

    def test_reloads_at_any_moment_of_the_start_do_not_end_the_process(self):
        draw = random.Random(39)
        for _ in range(10):
            node, pipe = self.start_node_that_reads_its_settings()
            with pipe:
                pipe.write(SETTINGS.encode())
            for _ in range(10):
                node.send_signal(signal.SIGHUP)
                time.sleep(draw.uniform(0, 0.005))
            node.send_signal(signal.SIGTERM)
            self.assertEqual(node.wait(LIMIT_S), 0)

    def test_ports_held_by_the_process_before_are_waited_for(self):
        self.settings.write_text(SETTINGS.replace("graceS=0.5", "graceS=15"), "utf-8")
        for port in (8141, 8146, 8147, 7380, 7381):
            for asks_stop in (False, True):
                with self.subTest(port=port, asks_stop=asks_stop):
                    with socket.create_server((ADDRESS, port)):
                        node = self.start_node()
                        self.wait(lambda: "port_held" in self.events() or node.poll() is not None,
                                  "it waits for the port")
                        if asks_stop:
                            node.terminate()
                            self.assertEqual(node.wait(LIMIT_S), 0)
                    if not asks_stop:
                        self.wait(lambda: "started" in self.events() or node.poll() is not None,
                                  "it starts")
                    self.assertEqual("started" in self.events(), not asks_stop)
                    self.assertIn(f"{ADDRESS}:{port}: Address already in use", self.log.read_text())
                    node.kill()
                    node.wait()

    def test_port_that_stays_held_is_named_at_the_end(self):
        self.settings.write_text(SETTINGS, "utf-8")
        with socket.create_server((ADDRESS, 8147)):
            node = self.start_node()
            self.assertEqual(node.wait(LIMIT_S), 1)
        self.assertEqual(self.events(), ["port_held", "start_failed"])
        self.assertIn(f"pomelohead node: cannot listen on {ADDRESS}:8147", self.log.read_text())

    def test_process_that_ends_by_itself_says_why(self):
        self.settings.write_text(SETTINGS, "utf-8")
        for max_files in range(4, 12):
            with self.subTest(max_files=max_files):
                node = self.start_node(max_files)
                self.wait(lambda: "started" in self.events() or node.poll() is not None, "it starts")
                if node.poll() is None:
                    node.kill()
                else:
                    self.assertTrue({"process_failed", "start_failed"} & set(self.events()))
                    self.assertIn("Too many open files", self.log.read_text())
                node.wait()

    def test_log_whose_reader_is_gone_does_not_end_the_process(self):
        self.settings.write_text(SETTINGS, "utf-8")
        for is_gone_at_start in (True, False):
            with self.subTest(is_gone_at_start=is_gone_at_start):
                reader, writer = os.pipe()
                node = self.start_node(output=writer)
                os.close(writer)
                if is_gone_at_start:
                    os.close(reader)
                self.wait(lambda: self.is_listening() or node.poll() is not None, "it starts")
                if not is_gone_at_start:
                    os.close(reader)
                for _ in range(5):
                    node.send_signal(signal.SIGHUP)  # logs a line
                    time.sleep(0.02)
                node.terminate()
                self.assertEqual(node.wait(LIMIT_S), 0)


if __name__ == "__main__":
    unittest.main()
