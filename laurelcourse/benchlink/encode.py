"""Encodes the module's results as lines for the simulator."""

import base64

from laurelcourse import interface as face

MAX_TEXT_LENGTH = 200


def milliseconds(microseconds: int) -> str:
    """Returns a time in milliseconds as text."""
    return f"{microseconds / 1000:.3f}"


def single_line(text: str) -> str:
    """Returns a text without line breaks, of bounded length."""
    return " ".join(text.split())[:MAX_TEXT_LENGTH]


WRITERS = {
    face.SEND: lambda req, unit, limit: f"FORWARD\tcorr={req}\tunit={unit}\tlimit={milliseconds(limit)}",
    face.SHED: lambda req, retry_after: (
        f"REJECT\tcorr={req}" + (f"\tcome_back={milliseconds(retry_after)}" if retry_after else "")
    ),
    face.ERROR: lambda req: f"FAIL\tcorr={req}",
    face.CANCEL: lambda req, number: f"ABANDON\tcorr={req}\ttry={number}",
    face.WAKE: lambda delay, token: f"AFTER\tafter={milliseconds(delay)}\tnonce={token}",
    face.PROBE: lambda unit: f"PING\tunit={unit}",
    face.TELL: lambda relay, payload: (
        f"NOTIFY\taddressee={relay}\tbody={base64.b64encode(payload).decode()}"
    ),
    face.WATCH: lambda: "STREAM_CHANGES\ton=1",
    face.VOTE: lambda build, stage, verdict: f"OPINION\tring={stage}\tbuild={build}\tsense={verdict}",
    face.NOTE: lambda text: f"EMIT\tnote_text={single_line(text)}",
}


def encode_result(instance: str, result: face.Result) -> str:
    """Returns the line of one result."""
    name, tab, fields = WRITERS[result[0]](*result[1:]).partition("\t")
    return f"{name}\twho={instance}{tab}{fields}"


def encode_fault(instance: str, error: Exception) -> str:
    """Returns the line by which an instance ends after an exception."""
    return f"GIVE_IN\twho={instance}\tnote_text={single_line(f'{type(error).__name__}: {error}')}"
