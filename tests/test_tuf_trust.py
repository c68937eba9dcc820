"""What is verified of a repository, against outdated and false metadata, without sockets."""

import time
from collections.abc import Callable
from datetime import datetime

import pytest
from securesystemslib.signer import CryptoSigner

from laurelcourse.fronts.tuf.trust import (
    INVALID,
    OUTDATED,
    UNCHANGED,
    UNVERIFIABLE,
    VERIFIED,
    Assessment,
    Refresh,
    Trust,
    TrustError,
)
from laurelcourse.standins.repository import Revision, TufRepository, wall_clock

MOST = 1 << 20


def now(later: float = 0.0) -> int:
    return int((time.time() + later) * 1_000_000)


@pytest.fixture
def repository() -> TufRepository:
    made = TufRepository()
    made.add("app.bin", b"one" * 100)
    made.publish()
    return made


def walk(trust: Trust, given: Revision, later: float = 0.0) -> list[Assessment]:
    """Runs a refresh whose requests all go to one mirror; ends at the first response that is refused."""
    refresh, offers = Refresh(trust), []
    while (want := refresh.next_file()) is not None:
        raw = given.metadata.get(want.name)
        offers.append(refresh.add_missing() if raw is None else refresh.add(raw, now(later)))
        if offers[-1].verdict not in (VERIFIED, UNCHANGED):
            break
    return offers


def last(trust: Trust, given: Revision, later: float = 0.0) -> str:
    return walk(trust, given, later)[-1].verdict


@pytest.mark.parametrize("consistent", [True, False])
def test_a_complete_refresh_is_adopted_and_the_next_is_unchanged(consistent: bool) -> None:
    repo = TufRepository(consistent)
    repo.add("app.bin", b"one")
    trust = Trust((repo.publish() and repo.pinned), MOST)
    assert [offer.verdict for offer in walk(trust, repo.newest)] == [UNCHANGED, VERIFIED, VERIFIED, VERIFIED]
    assert trust.is_usable(now()) and trust.view.timestamp.version == 1
    assert [offer.verdict for offer in walk(trust, repo.newest)] == [UNCHANGED, UNCHANGED]
    for name, raw in repo.newest.metadata.items():
        role, version = trust.parse_name(name)
        assert trust.find_file(role, version, trust.view).raw == raw


def test_a_pinned_root_must_sign_itself(repository: TufRepository) -> None:
    for raw in (
        b"",
        b"{}",
        repository.newest.metadata["timestamp.json"],
        repository.pinned.replace(b'"version":1', b'"version":2'),
    ):
        with pytest.raises(TrustError):
            Trust(raw, MOST)


@pytest.mark.parametrize("role", ["timestamp", "snapshot", "targets"])
@pytest.mark.parametrize(
    "spoil, verdict",
    [
        (lambda raw: b"", INVALID),
        (lambda raw: b"[" * 100_000, INVALID),
        (lambda raw: raw[:-10], INVALID),
        (lambda raw: raw.replace(b'"version":2', b'"version":3'), INVALID),
    ],
)
def test_a_corrupted_file_is_invalid_and_changes_nothing(
    repository: TufRepository, role: str, spoil: object, verdict: str
) -> None:
    trust = Trust(repository.pinned, MOST)
    walk(trust, repository.newest)
    held = trust.view
    repository.publish()
    given = Revision(dict(repository.newest.metadata), {}, 2)
    name = next(name for name in given.metadata if role in name and "1." not in name)
    given.metadata[name] = spoil(given.metadata[name])
    assert last(trust, given) == verdict and trust.view is held
    assert last(trust, repository.newest) == VERIFIED  # another mirror is believed all the same


def test_older_metadata_is_outdated_and_never_adopted(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    repository.publish()
    walk(trust, repository.newest)
    assert last(trust, repository.revisions[0]) == OUTDATED and trust.view.timestamp.version == 2


@pytest.mark.parametrize("role", ["snapshot", "targets"])
def test_mixed_metadata_is_outdated(repository: TufRepository, role: str) -> None:
    trust = Trust(repository.pinned, MOST)
    walk(trust, repository.newest)
    repository.publish()
    given = Revision(dict(repository.newest.metadata), {}, 2)
    given.metadata[f"2.{role}.json"] = repository.revisions[0].metadata[f"1.{role}.json"]
    assert last(trust, given) == OUTDATED and trust.view.timestamp.version == 1
    del given.metadata[f"2.{role}.json"]
    assert last(trust, given) == OUTDATED


def test_a_snapshot_that_rolls_back_a_role_is_not_adopted(repository: TufRepository) -> None:
    repository.publish(ahead=3)
    trust = Trust(repository.pinned, MOST)
    walk(trust, repository.newest)
    repository.targets.signed.version -= 2
    repository.publish()
    offers = walk(trust, repository.newest)
    assert offers[-1].verdict == OUTDATED and "takes targets.json back" in offers[-1].why


def test_two_timestamps_of_one_version_are_not_mixed(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    walk(trust, repository.newest)
    repository.publish(ahead=0, expires=5000)
    assert last(trust, repository.newest) == OUTDATED


def test_expired_metadata_is_outdated(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    assert last(trust, repository.newest, later=4000) == OUTDATED
    walk(trust, repository.newest)
    assert trust.is_usable(now()) and not trust.is_usable(now(4000))
    assert last(trust, repository.newest, later=4000) == OUTDATED


def test_a_threshold_that_is_not_met_proves_nothing() -> None:
    repo = TufRepository(threshold=2)
    repo.publish()
    trust = Trust(repo.pinned, MOST)
    given = Revision(dict(repo.newest.metadata), {}, 1)
    repo._sign(repo.timestamp, repo.signers["timestamp"][:1])
    given.metadata["timestamp.json"] = repo.timestamp.to_bytes()
    assert last(trust, given) == INVALID and last(trust, repo.newest) == VERIFIED


def test_roots_rotate_one_version_at_a_time(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    for _ in range(3):
        repository.rotate("root")
    repository.publish()
    skipped = Revision(dict(repository.newest.metadata), {}, 2)
    skipped.metadata["2.root.json"] = skipped.metadata["3.root.json"]
    assert last(trust, skipped) == INVALID and trust.latest_root.version == 1
    assert last(trust, repository.newest) == VERIFIED and trust.root.version == 4
    assert [trust.find_file("root", version, None).version for version in (1, 2, 3, 4)] == [1, 2, 3, 4]
    assert trust.add_root(repository.roots[1]).verdict == OUTDATED


def test_a_root_without_known_signatures_is_invalid(repository: TufRepository) -> None:
    other = TufRepository()
    other.rotate("root")
    assert Trust(repository.pinned, MOST).add_root(other.roots[1]).verdict == INVALID


def test_a_revoked_key_verifies_nothing(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    walk(trust, repository.newest)
    old = repository.signers["timestamp"][:]
    repository.rotate("timestamp")
    repository.publish()
    assert last(trust, repository.newest) == VERIFIED
    repository.signers["timestamp"] = old
    repository.publish(ahead=50)
    assert last(trust, repository.newest) == OUTDATED and trust.view.timestamp.version == 2


def test_a_rotation_resets_versions_of_the_old_key(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    repository.publish(ahead=1000)
    walk(trust, repository.newest)
    repository.timestamp.signed.version = repository.snapshot.signed.version = 5
    repository.rotate("timestamp")
    repository.publish()
    assert last(trust, repository.newest) == VERIFIED and trust.view.timestamp.version == 6


@pytest.mark.parametrize("role", ["timestamp", "snapshot", "targets", "root"])
def test_a_rotation_takes_effect_with_the_view_verified_under_it(
    repository: TufRepository, role: str
) -> None:
    trust = Trust(repository.pinned, MOST)
    walk(trust, repository.newest)
    repository.rotate(role)
    given = Revision(
        repository.publish().metadata
        | {"timestamp.json": repository.revisions[0].metadata["timestamp.json"]},
        {},
        2,
    )
    outcome = walk(trust, given)  # a mirror that has the root, and not yet the rest
    revoked = role == "timestamp"
    assert outcome[-1].verdict == (OUTDATED if revoked else UNCHANGED)
    assert trust.is_usable(now()) and trust.root.version == (2 if role == "root" else 1)
    assert last(trust, repository.newest) == VERIFIED
    assert (trust.root.version, trust.view.timestamp.version, trust.is_usable(now())) == (2, 2, True)


def test_rotating_targets_keys_allows_no_timestamp_rollback(repository: TufRepository) -> None:
    trust = Trust(repository.pinned, MOST)
    repository.publish(ahead=9)
    walk(trust, repository.newest)
    repository.rotate("targets")
    assert trust.add_root(repository.roots[-1]).verdict == VERIFIED
    assert trust.is_usable(now())  # until a view is proven under it, or for too long
    trust.adopt_pending_roots()
    assert trust.view is None and not trust.is_usable(now())
    assert last(trust, repository.revisions[0]) == OUTDATED


def test_a_mirror_ahead_of_a_rotation_is_unverifiable_and_requests_the_next_root(
    repository: TufRepository,
) -> None:
    trust = Trust(repository.pinned, MOST)
    repository.rotate("timestamp")
    repository.publish()
    refresh = Refresh(trust)
    refresh.add_missing()  # a mirror that has not heard of the rotation
    assert refresh.add(repository.newest.metadata["timestamp.json"], now()).verdict == UNVERIFIABLE
    assert refresh.next_file().name == "timestamp.json"  # another mirror may have one that is known
    assert refresh.try_again() and refresh.next_file().name == "2.root.json"
    refresh.add_missing()
    assert not refresh.try_again()
    assert Refresh(trust).add(repository.newest.metadata["2.root.json"], now()).verdict == VERIFIED
    assert last(trust, Revision(repository.forged() | {}, {}, 0)) == UNVERIFIABLE


def chain(deep: int, loop: bool = False, clock: Callable[[], datetime] = wall_clock) -> TufRepository:
    repo = TufRepository(clock=clock)
    parent = "targets"
    for place in range(deep):
        repo.delegate(parent, f"r{place}", ["*"])
        parent = f"r{place}"
    if loop:
        repo.delegate(parent, "r0", ["*"])
    repo.add("deep.bin", b"deep", parent)
    repo.publish()
    return repo


def prove_all(trust: Trust, repo: TufRepository, path: str) -> tuple[object, int]:
    asked = 0
    while (sought := trust.find_target(trust.view, path)).missing_role:
        want = trust.wanted_role_file(trust.view, sought.missing_role)
        raw = repo.newest.metadata[want.name]
        assert trust.add_role(trust.view, sought.missing_role, raw, now()).verdict == VERIFIED
        asked += 1
    return sought.target, asked


@pytest.mark.parametrize(
    "deep, loop, is_found, roles", [(3, False, True, 3), (3, True, True, 3), (60, False, False, 32)]
)
def test_delegations_are_followed_once_each_and_not_endlessly(
    deep: int, loop: bool, is_found: bool, roles: int
) -> None:
    repo = chain(deep, loop)
    trust = Trust(repo.pinned, MOST)
    walk(trust, repo.newest)
    target, asked = prove_all(trust, repo, "deep.bin")
    assert (target is not None, asked) == (is_found, roles)
    assert prove_all(trust, repo, "nowhere.bin") == (None, 0)


def test_a_role_is_reached_by_its_name_and_only_by_who_delegates_to_it() -> None:
    repo = chain(3)
    trust = Trust(repo.pinned, MOST)
    walk(trust, repo.newest)
    raw = {role: repo.newest.metadata[f"1.{role}.json"] for role in ("r0", "r1", "r2")}
    assert (
        trust.next_role_towards(trust.view, "r2") == "r0"
        and trust.next_role_towards(trust.view, "r9") == "r0"
    )
    assert trust.add_role(trust.view, "r1", raw["r1"], now()).verdict == INVALID  # r0 is not proven yet
    assert trust.add_role(trust.view, "r0", raw["r1"], now()).verdict == INVALID
    for role in ("r0", "r1", "r2"):
        assert trust.next_role_towards(trust.view, "r2") == role
        assert trust.add_role(trust.view, role, raw[role], now()).verdict == VERIFIED
    assert trust.next_role_towards(trust.view, "r9") is None


def test_verified_roles_stay_while_snapshot_and_keys_allow() -> None:
    made = wall_clock()  # stands still: what is published anew expires when it did
    repo = chain(2, clock=lambda: made)
    trust = Trust(repo.pinned, MOST)
    walk(trust, repo.newest)
    prove_all(trust, repo, "deep.bin")
    repo.delegated["r1"].signed.version -= 1  # published anew as it was
    repo.delegated["r0"].signed.version -= 1
    raw = repo.publish().metadata
    assert raw["1.r0.json"] == repo.revisions[0].metadata["1.r0.json"]
    walk(trust, repo.newest)
    assert set(trust.view.roles) == {"targets", "r0", "r1"}
    signer = CryptoSigner.generate_ed25519()
    repo.targets.signed.revoke_key(repo.signers["r0"][0].public_key.keyid, "r0")
    repo.targets.signed.add_key(signer.public_key, "r0")
    repo.signers["r0"] = [signer]
    repo.publish()
    walk(trust, repo.newest)
    assert set(trust.view.roles) == {"targets"}


@pytest.mark.parametrize(
    "name, consistent, expected",
    [
        ("timestamp.json", True, ("timestamp", None)),
        ("7.snapshot.json", True, ("snapshot", 7)),
        ("7.snapshot.json", False, ("7.snapshot", None)),
        ("2.root.json", False, ("root", 2)),
        ("3.a%2Fb.json", True, ("a/b", 3)),
        ("timestamp.xml", True, ("", None)),
        ("../x.json", True, ("", None)),
        ("0.root.json", True, ("0.root", None)),
    ],
)
def test_a_files_name_tells_role_and_version(name: str, consistent: bool, expected: tuple) -> None:
    repo = TufRepository(consistent)
    assert Trust(repo.pinned, MOST).parse_name(name) == expected
