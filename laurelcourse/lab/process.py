"""Real relay processes for a lab: started among stand-ins, watched, ended by their ids."""

import contextlib
import fcntl
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from laurelcourse.standins.base import until

ROOT = Path(__file__).parent.parent.parent


def tied(read: int, pid: int) -> None:
    """The kernel kills `pid`, stopped or not, when the pipe's other end is closed, however its holder ended
    (Linux, fcntl(2): F_SETSIG). prctl's PR_SET_PDEATHSIG would follow the thread that started it, and threads
    that play scripts of faults end before their labs."""
    fcntl.fcntl(read, fcntl.F_SETOWN, pid)
    fcntl.fcntl(read, fcntl.F_SETSIG, signal.SIGKILL)
    fcntl.fcntl(read, fcntl.F_SETFL, fcntl.fcntl(read, fcntl.F_GETFL) | os.O_ASYNC)


class RelayProcess:
    def __init__(
        self, folder: Path, config: dict, operator: Path | None = None, broken: str = "", lab: str = ""
    ) -> None:
        """`broken` names the guard of this lab that the relay is to run without."""
        self.folder, self.broken, self.operator, self.lab = folder, broken, operator, lab
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.log = folder / "config.json", folder / "log"
        self.path.write_text(json.dumps(config))
        self.log.touch()
        self.process: subprocess.Popen | None = None
        self.tie = -1  # held for as long as this process lives; the relay's end is its stdin

    def words(self) -> list[str]:
        """The module and its arguments, as Python is to run it."""
        module = ["laurelcourse.lab.broken", self.lab, self.broken] if self.broken else ["laurelcourse"]
        told = ["--operator", str(self.operator)] if self.operator else []
        return [*module, "serve", "--config", str(self.path), *told]

    def start(self, wait: bool = True) -> None:
        """Raises RuntimeError if it ends before it serves, where that is waited for."""
        served = self.log.read_text().count("msg=serving")
        self._untie()
        read, self.tie = os.pipe()
        try:
            with self.log.open("ab") as log:
                self.process = subprocess.Popen(
                    [sys.executable, "-B", "-m", *self.words()],
                    cwd=ROOT,
                    stdin=read,
                    stderr=log,
                    stdout=log,
                    env=os.environ | {"PYTHONPATH": str(ROOT)},
                )
            tied(read, self.process.pid)
        finally:
            os.close(read)
        if not wait:
            return
        until(
            lambda: self.log.read_text().count("msg=serving") > served or self.process.poll() is not None, 20
        )
        if self.process.poll() is not None:
            raise RuntimeError(f"a relay ended at its start: {self.log.read_text()[-2000:]}")

    def _untie(self) -> None:
        """The process has ended: the pipe to it is wanted no more."""
        if self.tie >= 0:
            os.close(self.tie)
        self.tie = -1

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def counters(self) -> dict[str, int]:
        """As printed on request; empty if the relay has ended."""
        printed = self.log.read_text().count("msg=counters")
        if not self.alive():
            return {}
        self.process.send_signal(signal.SIGUSR1)
        with contextlib.suppress(AssertionError):
            until(lambda: self.log.read_text().count("msg=counters") > printed)
        lines = [line for line in self.log.read_text().splitlines() if "msg=counters" in line]
        pairs = (part.split("=", 1) for part in (lines[-1] if lines else "").split(" ") if "=" in part)
        return {name: int(value) for name, value in pairs if value.lstrip("-").isdigit()}

    def cpu(self) -> float:
        """Seconds of CPU so far (Linux, /proc/PID/stat: utime and stime)."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self) -> float:
        """The most memory resident so far (Linux, /proc/PID/status: VmHWM)."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        if self.process:
            self.process.kill()
            self.process.wait()
            self._untie()

    def stop(self) -> int:
        self.process.terminate()
        code = self.process.wait(10)
        self._untie()
        return code
