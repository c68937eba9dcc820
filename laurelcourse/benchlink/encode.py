"""From the module's results to the wire's lines."""

import base64

from laurelcourse import interface as face


def millis(micros: int) -> str:
    return f"{micros / 1000:.3f}"


def flat(text: str) -> str:
    return " ".join(text.split())[:200]


WRITERS = {
    face.SEND: lambda req, unit, limit: f"FORWARD\tcorr={req}\tunit={unit}\tlimit={millis(limit)}",
    face.SHED: lambda req, back: f"REJECT\tcorr={req}" + (f"\tcome_back={millis(back)}" if back else ""),
    face.ERROR: lambda req: f"FAIL\tcorr={req}",
    face.CANCEL: lambda req, number: f"ABANDON\tcorr={req}\ttry={number}",
    face.WAKE: lambda delay, token: f"AFTER\tafter={millis(delay)}\tnonce={token}",
    face.PROBE: lambda unit: f"PING\tunit={unit}",
    face.TELL: lambda relay, payload: f"NOTIFY\taddressee={relay}\tbody={base64.b64encode(payload).decode()}",
    face.WATCH: lambda: "STREAM_CHANGES\ton=1",
    face.VOTE: lambda build, stage, verdict: f"OPINION\tring={stage}\tbuild={build}\tsense={verdict}",
    face.NOTE: lambda text: f"EMIT\tnote_text={flat(text)}",
}


def line(instance: str, result: face.Result) -> str:
    name, tab, rest = WRITERS[result[0]](*result[1:]).partition("\t")
    return f"{name}\twho={instance}{tab}{rest}"


def fault(instance: str, error: Exception) -> str:
    return f"GIVE_IN\twho={instance}\tnote_text={flat(f'{type(error).__name__}: {error}')}"
