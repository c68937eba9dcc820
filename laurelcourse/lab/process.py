"""Real relay processes for a lab: started among stand-ins, watched, ended by their ids."""

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from laurelcourse.standins.base import until

ROOT = Path(__file__).parent.parent.parent


class RelayProcess:
    def __init__(self, folder: Path, config: dict, operator: Path | None = None, broken: str = "",
                 lab: str = "") -> None:
        """`broken` names the guard of this lab that the relay is to run without."""
        self.folder, self.broken, self.operator, self.lab = folder, broken, operator, lab
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.log = folder / "config.json", folder / "log"
        self.path.write_text(json.dumps(config))
        self.log.touch()
        self.process: subprocess.Popen | None = None

    def words(self) -> list[str]:
        """The module and its arguments, as Python is to run it."""
        module = ["laurelcourse.lab.broken", self.lab, self.broken] if self.broken else ["laurelcourse"]
        told = ["--operator", str(self.operator)] if self.operator else []
        return [*module, "serve", "--config", str(self.path), *told]

    def start(self, wait: bool = True) -> None:
        """Raises RuntimeError if it ends before it serves, where that is waited for."""
        served = self.log.read_text().count("msg=serving")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen([sys.executable, "-B", "-m", *self.words()], cwd=ROOT, stderr=log,
                                            stdout=log, env=os.environ | {"PYTHONPATH": str(ROOT)})
        if not wait:
            return
        until(lambda: self.log.read_text().count("msg=serving") > served or self.process.poll() is not None,
              20)
        if self.process.poll() is not None:
            raise RuntimeError(f"a relay ended at its start: {self.log.read_text()[-2000:]}")

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

    def stop(self) -> int:
        self.process.terminate()
        return self.process.wait(10)
