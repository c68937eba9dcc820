"""The log: one line of key=value pairs for each record, on standard error."""

import json
import logging
import sys

STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def quoted(value: object) -> str:
    """Returns a value as text, quoted like JSON where it holds spaces or such."""
    text = str(value)
    return json.dumps(text) if not text or any(char in text for char in ' "=\n\t\r') else text


class KeyValueFormatter(logging.Formatter):
    """Formats a record's message and extra attributes as key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for one record."""
        fields = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "at": record.name.rpartition(".")[2],
            "msg": record.getMessage(),
        }
        fields |= {name: value for name, value in vars(record).items() if name not in STANDARD_ATTRIBUTES}
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={quoted(value)}" for name, value in fields.items())


def start(level: str) -> None:
    """Sends the process's log to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
