"""Relay processes for labs and tests: started among stand-ins, watched, ended by their ids."""

import contextlib
import fcntl
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from laurelcourse.standins.base import wait_until

ROOT = Path(__file__).parent.parent.parent

START_TIMEOUT = 20  # seconds
STOP_TIMEOUT = 10  # seconds
ERROR_CHARACTERS = 2000  # of the log, in the message of a failed start


def kill_when_closed(read_end: int, pid: int) -> None:
    """Has the kernel kill a process, stopped or not, when a pipe's write end is closed.

    The pipe is closed however its holder ended (Linux, fcntl(2): F_SETSIG). prctl's PR_SET_PDEATHSIG would
    follow the thread that started the process, and threads that play scripts of faults end before their labs.
    """
    fcntl.fcntl(read_end, fcntl.F_SETOWN, pid)
    fcntl.fcntl(read_end, fcntl.F_SETSIG, signal.SIGKILL)
    fcntl.fcntl(read_end, fcntl.F_SETFL, fcntl.fcntl(read_end, fcntl.F_GETFL) | os.O_ASYNC)


class RelayProcess:
    """A relay in a folder of its own, which holds its configuration and its log."""

    def __init__(
        self,
        folder: Path,
        config: dict,
        operator: Path | None = None,
        removed_guard: str = "",
        lab: str = "",
    ) -> None:
        """Writes the configuration.

        `operator` is the path of the operator's settings. `removed_guard` names the guard of `lab` that the
        relay runs without.
        """
        self.folder = folder
        self.removed_guard = removed_guard
        self.operator = operator
        self.lab = lab
        folder.mkdir(parents=True, exist_ok=True)
        self.config_path = folder / "config.json"
        self.log = folder / "log"
        self.config_path.write_text(json.dumps(config))
        self.log.touch()
        self.process: subprocess.Popen | None = None
        self.pipe_end = -1  # open for as long as this process lives; the relay's end is its stdin

    def command(self) -> list[str]:
        """Returns the module and its arguments, as Python is to run it."""
        module = ["laurelcourse"]
        if self.removed_guard:
            module = ["laurelcourse.lab.without_guard", self.lab, self.removed_guard]
        options = ["--operator", str(self.operator)] if self.operator else []
        return [*module, "serve", "--config", str(self.config_path), *options]

    def start(self, wait: bool = True) -> None:
        """Starts the relay and, with `wait`, waits until it serves.

        Raises RuntimeError if it ends before it serves, AssertionError if it does not serve in time.
        """
        serve_count = self.log.read_text().count("msg=serving")
        self._close_pipe()
        read_end, self.pipe_end = os.pipe()
        try:
            with self.log.open("ab") as log:
                self.process = subprocess.Popen(
                    [sys.executable, "-B", "-m", *self.command()],
                    cwd=ROOT,
                    stdin=read_end,
                    stderr=log,
                    stdout=log,
                    env=os.environ | {"PYTHONPATH": str(ROOT)},
                )
            kill_when_closed(read_end, self.process.pid)
        finally:
            os.close(read_end)
        if not wait:
            return
        wait_until(
            lambda: (
                self.log.read_text().count("msg=serving") > serve_count or self.process.poll() is not None
            ),
            START_TIMEOUT,
        )
        if self.process.poll() is not None:
            raise RuntimeError(f"a relay ended at its start: {self.log.read_text()[-ERROR_CHARACTERS:]}")

    def _close_pipe(self) -> None:
        """Closes the pipe to a process that has ended."""
        if self.pipe_end >= 0:
            os.close(self.pipe_end)
        self.pipe_end = -1

    def alive(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def counters(self) -> dict[str, int]:
        """Returns the counters that the relay prints on request; none if it has ended."""
        printed = self.log.read_text().count("msg=counters")
        if not self.alive():
            return {}
        self.process.send_signal(signal.SIGUSR1)
        with contextlib.suppress(AssertionError):
            wait_until(lambda: self.log.read_text().count("msg=counters") > printed)
        lines = [line for line in self.log.read_text().splitlines() if "msg=counters" in line]
        pairs = (part.split("=", 1) for part in (lines[-1] if lines else "").split(" ") if "=" in part)
        return {name: int(value) for name, value in pairs if value.lstrip("-").isdigit()}

    def cpu(self) -> float:
        """Returns the seconds of CPU time so far (Linux, /proc/PID/stat: utime and stime)."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self) -> float:
        """Returns the largest resident memory so far, in MiB (Linux, /proc/PID/status: VmHWM)."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """Kills the process, if there is one, and waits for its end."""
        if self.process:
            self.process.kill()
            self.process.wait()
            self._close_pipe()

    def stop(self) -> int:
        """Sends SIGTERM and returns the exit code. Raises subprocess.TimeoutExpired after `STOP_TIMEOUT`."""
        self.process.terminate()
        code = self.process.wait(STOP_TIMEOUT)
        self._close_pipe()
        return code
