"""The order in which commands of several clients are submitted, and which calls are taken. Pure."""

from laurelcourse.fleet.books.forms import LEFT, Begin, Leave
from laurelcourse.fleet.calls.call_admission import MAX_KNOWN_FAULTY, CallAdmission
from laurelcourse.fleet.workflows.outbox import Outbox, OutgoingCommand, take_in_turn

MAX_COMMANDS, MAX_BEGINS = 8, 2


def begin(client: str, mark: object) -> OutgoingCommand:
    return OutgoingCommand(Begin("firm", str(mark), None, ()), len, client, f"{client}{mark}")


def leave(client: str, number: int) -> OutgoingCommand:
    return OutgoingCommand(Leave(number, LEFT), len, client, f"{client}{number}")


def filled(*commands: OutgoingCommand) -> Outbox:
    outbox = Outbox()
    for outgoing in commands:
        outbox.append(outgoing)
    return outbox


def askers(commands: list[OutgoingCommand]) -> list[str]:
    return [outgoing.asker for outgoing in commands]


def test_a_client_with_many_begins_holds_up_no_other() -> None:
    outbox = filled(*(begin("a", mark) for mark in range(400)), begin("b", 1), leave("a", 9), leave("c", 5))
    taken = outbox.take(MAX_COMMANDS, MAX_BEGINS)
    assert sorted(askers(taken)) == ["a0", "a9", "b1", "c5"]
    assert askers(outbox.take(MAX_COMMANDS, MAX_BEGINS)) == ["a1", "a2"] and len(outbox) == 397


def test_neither_the_relays_own_commands_nor_a_clients_keep_the_others_out() -> None:
    outbox = filled(
        *(leave("", number) for number in range(20)),
        *(leave("a", number) for number in range(20)),
        leave("b", 1),
    )
    assert askers(outbox.take(MAX_COMMANDS, MAX_BEGINS)) == ["0", "1", "2", "3", "4", "5", "a0", "b1"]
    assert askers(outbox.take(MAX_COMMANDS, MAX_BEGINS)) == ["6", "7", "8", "9", "10", "11", "12", "a1"]


def test_what_is_put_back_comes_first_in_its_order() -> None:
    outbox = filled(*(leave("a", number) for number in range(3)), begin("b", 1), leave("", 7))
    taken = outbox.take(MAX_COMMANDS, MAX_BEGINS)
    outbox.append(leave("a", 3))
    outbox.put_back(taken)
    again = askers(outbox.take(MAX_COMMANDS, MAX_BEGINS))
    assert [asker for asker in again if asker.startswith("a")] == ["a0", "a1", "a2", "a3"]
    assert set(again) - {"a3"} == set(askers(taken)) and not outbox


def test_a_call_that_was_given_up_leaves_nothing_behind() -> None:
    asker = object()
    outbox = filled(OutgoingCommand(Leave(1, LEFT), len, "a", asker), leave("b", 1))
    assert outbox.discard("a", asker) and not outbox.discard("a", asker) and not outbox.discard("c", asker)
    assert list(outbox.lanes) == ["b"] and len(outbox) == 1


def test_items_are_taken_from_each_client_in_turn() -> None:
    assert take_in_turn(["a1", "a2", "a3", "b1", "c1", "c2"], lambda item: item[0], 5) == [
        "a1",
        "b1",
        "c1",
        "a2",
        "c2",
    ]


def test_clients_that_take_all_they_can_leave_room_for_a_new_one() -> None:
    admission = CallAdmission(100, 1)
    clients = [f"client-{number}" for number in range(20)]
    while any([admission.begin(client) for client in clients]):
        pass
    assert admission.open_calls.taken < 100 and admission.begin("new")
    for client in clients:
        for _ in range(admission.open_calls.by_holder[client]):
            admission.end(client)
    admission.end("new")
    assert admission.open_calls.taken == 0 and not +admission.open_calls.by_holder


def test_what_is_known_of_faulty_clients_is_bounded() -> None:
    admission = CallAdmission(100, 5)
    delays = [admission.note_fault("a") for _ in range(3)]
    admission.note_served("a")
    assert delays == [0, 5, 5] and admission.note_fault("a") == 0
    for number in range(2 * MAX_KNOWN_FAULTY):
        admission.note_fault(str(number))
    assert len(admission.faults_in_a_row) == MAX_KNOWN_FAULTY
