"""The simulator's adapter: a whole exchange, and plain messages for malformed input."""

import io
import subprocess
import sys

import pytest

from laurelcourse.benchlink.host import serve

ROUTE = "\tclasses.0.".join(
    [
        "",
        "aim=1000.0",
        "deadline=3000.0",
        "effect=idempotent",
        "group=all",
        "late_share=0.2",
        "memory_span=5000.0",
        "name=read",
        "worth=1.0",
        "novel=7",
    ]
)
INFO = (
    "areas=a\tbalancers=2\tclasses.count=1" + ROUTE + "\tdiscovery=push\tdomain.api_timeout=1200.0\t"
    "domain.back_votes=1\tdomain.ballot_ttl=6000.0\tdomain.cap_scope=all\tdomain.complaint_share=0.0\t"
    "domain.counted_over=2000.0\tdomain.decided_by=single\tdomain.free=3.0\tdomain.keys_stay=false\t"
    "domain.least_stage=1500.0\tdomain.most_shares=0.06,1.0\tdomain.rings=0.03,1.0\tdomain.shielded=0\t"
    "domain.to_advance=1\tlimits.max_attempts=3\tlimits.may_duplicate=true\tlimits.peer_messages=true\t"
    "limits.probes=true\tlimits.retry_after=false\tlimits.max_retry_after=1000.0\tlocality=a\tme=0\t"
    "tick=5.0\tobligations.must_ask_in=9000.0\tobligations.overload_factor=3.0\t"
    "obligations.start_capacity=0.3\t"
    "obligations.stop_sending_within=2000.0\tobligations.tip_after=1000.0\t"
    "obligations.warm_after=4500.0\tprices.cross_zone=0.0\tcustomers="
)
BEGIN = "ROUND\tmoment=5.0\tseq={}\n"
NEW = f"NEW_INSTANCE\twho=relay_0\tentropy=9\t{INFO}\n"
ENTRY = "PAGE\tref=0\tnodes_list=1\nENTRY\tfailure_domain=a\timage=4\thealth=Ready\tunit={}\tnominal=1\n"
PAGES = (
    ENTRY.format(11)
    + "DIRECTORY_UPDATE\twho=relay_0\thow=C\tepoch=1\tref=0\n"
    + ENTRY.format(12)
    + "DIRECTORY_UPDATE\twho=relay_0\thow=F\tepoch=2\tref=0\n"
)
REQ = "NEW_REQUEST\twho=relay_0\tcorr=00ab\tlane=read\tleft=900.5\tnovel=1\n"
END = "YOUR_TURN\n"


def run(text: str) -> list[str]:
    sink = io.BytesIO()
    serve(io.BytesIO(text.encode()), sink)
    return sink.getvalue().decode().splitlines()


def test_lists_reuse_numbers_and_instances_restart_within_a_batch() -> None:
    first = BEGIN.format(1) + NEW + PAGES + REQ + END
    again = BEGIN.format(2) + "DOWN\twho=relay_0\n" + NEW + PAGES + REQ.replace("00ab", "00ac") + END
    lines = run(first + again)
    sends = [line.split("\t") for line in lines if line.startswith("FORWARD")]
    assert [(parts[2], parts[3]) for parts in sends] == [("corr=00ab", "unit=12"), ("corr=00ac", "unit=12")]
    assert [line for line in lines if line.startswith("OK")] == ["OK\tseq=1", "OK\tseq=2"]
    assert lines[0] == "AFTER\twho=relay_0\tafter=50.000\tnonce=beat"


def test_a_broken_module_is_a_fault_of_that_instance() -> None:
    lines = run(BEGIN.format(1) + NEW + PAGES + REQ.replace("read", "unheard") + REQ + END)
    faults = [line for line in lines if line.startswith("GIVE_IN")]
    assert faults == ["GIVE_IN\twho=relay_0\tnote_text=KeyError: 'unheard'"]
    assert not any(line.startswith("FORWARD") for line in lines)


@pytest.mark.parametrize(
    "text, message",
    [
        ("HELLO\n", "outside a batch"),
        (BEGIN.format(1) + "HELLO\twho=relay_0\n" + END, "unknown instance"),
        (BEGIN.format(1) + NEW + "HELLO\twho=relay_0\n" + END, "unknown message"),
        (BEGIN.format(1) + NEW + REQ.replace("corr=00ab\t", "") + END, "lacks the field 'corr'"),
        (BEGIN.format(1) + NEW + REQ.replace("900.5", "soon") + END, "unreadable 'left'"),
        (
            BEGIN.format(1) + NEW + PAGES.replace("nodes_list=1", "nodes_list=2") + END,
            "where an ENTRY is due",
        ),
        (BEGIN.format(1) + NEW + PAGES.replace("how=C", "how=Z") + END, "unreadable 'how'"),
        (BEGIN.format(1) + NEW.replace("tick=5.0\t", "") + END, "lacks the field 'tick'"),
        (BEGIN.format(1) + NEW, "inside a batch"),
        (BEGIN.format(1) + "ROUND", "inside a line"),
        (BEGIN.format(1) + BEGIN.format(2), "inside another"),
        (BEGIN.format(1) + "X\tloose\n", "no '='"),
        (BEGIN.format(1) + NEW + "PEER\twho=relay_0\tsrc=1\tbody=!!\n" + END, "unreadable 'body'"),
    ],
)
def test_malformed_input_ends_in_one_plain_line(text: str, message: str) -> None:
    done = subprocess.run(
        [sys.executable, "-B", "-m", "laurelcourse.benchlink"],
        input=text.encode(),
        capture_output=True,
        check=False,
    )
    error = done.stderr.decode()
    assert done.returncode != 0 and message in error and error.count("\n") == 1 and "Traceback" not in error
