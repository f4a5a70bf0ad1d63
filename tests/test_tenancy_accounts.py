"""Accounts by random steps against a plain model, and the steps of a tenant's life."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.state.rows import Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.lifecycle import (
    AbortUploads,
    PurgeComplete,
    RemoveBuckets,
    RevokeKeys,
    TenantAction,
    TenantState,
    next_purge_step,
    next_state,
)
from hophinge.tenancy.records import BUCKET_KIND, KEY_KIND, Account, AccountError, Bucket, Quotas, Role, Shares, row_of

WISHES = st.lists(
    st.tuples(
        st.sampled_from(["create", "suspend", "resume", "close", "bucket", "key", "rotate", "end", "purge", "late"]),
        st.integers(0, 2),
        st.integers(0, 4),
    ),
    max_size=60,
)


@settings(max_examples=120)
@given(WISHES, st.integers(0, 2**32))
def test_accounts_by_random_steps(wishes: list[tuple[str, int, int]], seed: int) -> None:
    ended: list[str] = []
    accounts = Accounts(lambda name, state: ended.append(name) if state is not TenantState.ACTIVE else None)
    rng, seq, now, plans = random.Random(seed), 0, 1000, frozenset({"basic", "priority"})
    states: dict[str, str] = {}  # the model: names, and what is valid
    tokens: dict[str, tuple[str, str, int]] = {}  # key: tenant, secret, end
    volumes: dict[str, str] = {}  # volume: tenant; an id is never there twice

    def take(*rows: Row) -> None:
        nonlocal seq
        seq += 1
        accounts.apply(Row(one.kind, one.name, one.body, seq) for one in rows)

    for word, who, number in wishes:
        name, now = f"tenant{who}", now + rng.randrange(1000)
        state = states.get(name, "closed")
        try:
            if word == "create":
                take(row_of(accounts.create(name, Quotas(volumes=3, keys=3), Shares(), "", now)))
                assert state == "closed"
                states[name] = "active"
            elif word in ("suspend", "resume", "close"):
                take(row_of(accounts.transition(name, TenantAction(word))))
                assert state in ("active", "suspended") or (state, word) == ("closing", "close")
                states[name] = {"suspend": "suspended", "resume": "active", "close": "closing"}[word]
            elif word == "bucket":
                made = accounts.put_bucket(
                    name,
                    f"bucket{number}",
                    rng.choice(["basic", "priority"]),
                    plans,
                    f"{rng.randrange(10**15):016x}",
                    now,
                )
                assert state in ("active", "suspended") and made.id not in {
                    one for one, owner in volumes.items() if owner != name
                }
                take(row_of(made))
                volumes[made.id] = name
            elif word == "key":
                ends = now + 500 * number if number else 0
                made_key = accounts.add_key(name, f"hk{seq:016x}", f"secret{seq}", Role.DATA, ends, "", now)
                assert state in ("active", "suspended")
                tokens[made_key.id] = name, f"secret{seq}", ends
                take(row_of(made_key))
            elif word == "rotate":
                old = rng.choice(sorted(tokens) or ["none"])
                new, left = accounts.rotate_key(name, old, f"hk{seq:016x}", f"secret{seq}", number, now)
                tokens[new.id] = name, f"secret{seq}", new.expires_ms
                if left is None:
                    del tokens[old]
                    take(row_of(new), Row(KEY_KIND, old, None))
                else:
                    tokens[old] = name, tokens[old][1], left.expires_ms
                    take(row_of(new), row_of(left))
            elif word == "end":
                gone = rng.choice(sorted(tokens) or ["none"])
                take(Row(KEY_KIND, accounts.key(name, gone).id, None))
                del tokens[gone]
            elif word == "purge" and state == "closing":
                match next_purge_step(list(accounts.key_ids.get(name, ())), 0, list(accounts.buckets.get(name, {}))):
                    case RevokeKeys(keys=keys):
                        take(*(Row(KEY_KIND, key, None) for key in keys))
                        for key in keys:
                            assert tokens.pop(key)[0] == name
                    case RemoveBuckets(buckets=buckets):
                        assert not accounts.key_ids.get(name)  # keys end first
                        take(*(Row(BUCKET_KIND, f"{name}/{bucket}", None) for bucket in buckets))
                    case PurgeComplete():
                        assert not accounts.buckets.get(name)
                        take(row_of(accounts.transition(name, TenantAction.PURGED)))
                        states[name] = "closed"
        except AccountError as error:
            assert error.kind in ("exists", "missing", "state", "quota")
        for key, (owner, secret, ends) in tokens.items():
            valid = accounts.authenticate(f"{key}.{secret}", now)
            assert (valid is not None) is (states.get(owner) == "active" and not 0 < ends <= now)
            assert accounts.authenticate(f"{key}.{secret}x", now) is None
        for owner in states:
            live = sum(not 0 < ends <= now for one, _, ends in tokens.values() if one == owner)
            assert live <= 4 and len(accounts.buckets.get(owner, {})) <= 3  # a rotation's overlap is beyond
        again = Accounts()
        again.apply(
            [row_of(one) for one in accounts.tenants.values()]
            + [row_of(one) for one in accounts.keys.values()]
            + [row_of(one) for mine in accounts.buckets.values() for one in mine.values()]
        )
        assert (again.tenants, again.keys, again.volumes) == (accounts.tenants, accounts.keys, accounts.volumes)
    assert set(ended) >= {name for name, state in states.items() if state != "active"}


def test_every_step_of_a_life_is_one_of_those_that_are_meant() -> None:
    assert {
        (state.value, wish.value): to.value
        for state in TenantState
        for wish in TenantAction
        if (to := next_state(state, wish)) is not None and to is not state
    } == {
        ("active", "suspend"): "suspended",
        ("suspended", "resume"): "active",
        ("active", "close"): "closing",
        ("suspended", "close"): "closing",
        ("closing", "purged"): "closed",
    }
    assert isinstance(next_purge_step([], 2, ["b"]), AbortUploads) and isinstance(
        next_purge_step(["k"], 2, ["b"]), RevokeKeys
    )


def test_an_account_s_bucket_keeps_its_volume() -> None:
    accounts = Accounts()
    accounts.apply([row_of(Account("alba")), row_of(Bucket("alba", "receipts", "0" * 16, "basic"))])
    moved = accounts.put_bucket("alba", "receipts", "priority", frozenset({"priority"}), "1" * 16, 0)
    assert (moved.id, moved.plan) == ("0" * 16, "priority") and accounts.owner("0" * 16) == "alba"
