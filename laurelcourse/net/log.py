"""The log: one key=value line a record, on standard error."""

import json
import logging
import sys

USUAL = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def quoted(value: object) -> str:
    text = str(value)
    return json.dumps(text) if not text or any(c in text for c in ' "=\n\t\r') else text


class KeyValue(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "at": record.name.rpartition(".")[2],
            "msg": record.getMessage(),
        }
        fields |= {name: value for name, value in vars(record).items() if name not in USUAL}
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={quoted(value)}" for name, value in fields.items())


def start(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
