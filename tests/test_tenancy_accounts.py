"""Tests of accounts against a simple model, by random actions, and of the lifecycle of a tenant."""

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

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["create", "suspend", "resume", "close", "bucket", "key", "rotate", "remove_key", "purge", "wait"]
        ),
        st.integers(0, 2),
        st.integers(0, 4),
    ),
    max_size=60,
)


@settings(max_examples=120)
@given(ACTIONS, st.integers(0, 2**32))
def test_accounts_agree_with_a_model_after_random_actions(actions: list[tuple[str, int, int]], seed: int) -> None:
    inactive: list[str] = []
    accounts = Accounts(lambda name, state: inactive.append(name) if state is not TenantState.ACTIVE else None)
    rng, seq, now, plans = random.Random(seed), 0, 1000, frozenset({"basic", "priority"})
    states: dict[str, str] = {}  # the model: state by tenant
    tokens: dict[str, tuple[str, str, int]] = {}  # tenant, secret and expiry by key id
    volumes: dict[str, str] = {}  # tenant by volume id; ids are never reused

    def store(*rows: Row) -> None:
        nonlocal seq
        seq += 1
        accounts.apply(Row(row.kind, row.name, row.body, seq) for row in rows)

    for action, tenant_number, number in actions:
        name, now = f"tenant{tenant_number}", now + rng.randrange(1000)
        state = states.get(name, "closed")
        try:
            if action == "create":
                store(row_of(accounts.create(name, Quotas(volumes=3, keys=3), Shares(), "", now)))
                assert state == "closed"
                states[name] = "active"
            elif action in ("suspend", "resume", "close"):
                store(row_of(accounts.transition(name, TenantAction(action))))
                assert state in ("active", "suspended") or (state, action) == ("closing", "close")
                states[name] = {"suspend": "suspended", "resume": "active", "close": "closing"}[action]
            elif action == "bucket":
                bucket = accounts.put_bucket(
                    name,
                    f"bucket{number}",
                    rng.choice(["basic", "priority"]),
                    plans,
                    f"{rng.randrange(10**15):016x}",
                    now,
                )
                assert state in ("active", "suspended") and bucket.id not in {
                    volume for volume, owner in volumes.items() if owner != name
                }
                store(row_of(bucket))
                volumes[bucket.id] = name
            elif action == "key":
                expires_ms = now + 500 * number if number else 0
                key = accounts.add_key(name, f"hk{seq:016x}", f"secret{seq}", Role.DATA, expires_ms, "", now)
                assert state in ("active", "suspended")
                tokens[key.id] = name, f"secret{seq}", expires_ms
                store(row_of(key))
            elif action == "rotate":
                old = rng.choice(sorted(tokens) or ["none"])
                new, remaining = accounts.rotate_key(name, old, f"hk{seq:016x}", f"secret{seq}", number, now)
                tokens[new.id] = name, f"secret{seq}", new.expires_ms
                if remaining is None:
                    del tokens[old]
                    store(row_of(new), Row(KEY_KIND, old, None))
                else:
                    tokens[old] = name, tokens[old][1], remaining.expires_ms
                    store(row_of(new), row_of(remaining))
            elif action == "remove_key":
                removed = rng.choice(sorted(tokens) or ["none"])
                store(Row(KEY_KIND, accounts.key(name, removed).id, None))
                del tokens[removed]
            elif action == "purge" and state == "closing":
                match next_purge_step(list(accounts.key_ids.get(name, ())), 0, list(accounts.buckets.get(name, {}))):
                    case RevokeKeys(keys=key_ids):
                        store(*(Row(KEY_KIND, key_id, None) for key_id in key_ids))
                        for key_id in key_ids:
                            assert tokens.pop(key_id)[0] == name
                    case RemoveBuckets(buckets=buckets):
                        assert not accounts.key_ids.get(name)  # keys are revoked first
                        store(*(Row(BUCKET_KIND, f"{name}/{bucket_name}", None) for bucket_name in buckets))
                    case PurgeComplete():
                        assert not accounts.buckets.get(name)
                        store(row_of(accounts.transition(name, TenantAction.PURGED)))
                        states[name] = "closed"
        except AccountError as error:
            assert error.kind in ("exists", "missing", "state", "quota")
        for key_id, (owner, secret, expires_ms) in tokens.items():
            valid = accounts.authenticate(f"{key_id}.{secret}", now)
            assert (valid is not None) is (states.get(owner) == "active" and not 0 < expires_ms <= now)
            assert accounts.authenticate(f"{key_id}.{secret}x", now) is None
        for owner in states:
            valid_keys = sum(not 0 < expires_ms <= now for tenant, _, expires_ms in tokens.values() if tenant == owner)
            # During its overlap, a rotated key is valid in excess of the quota.
            assert valid_keys <= 4 and len(accounts.buckets.get(owner, {})) <= 3
        rebuilt = Accounts()
        rebuilt.apply(
            [row_of(record) for record in accounts.tenants.values()]
            + [row_of(record) for record in accounts.keys.values()]
            + [row_of(record) for tenant_buckets in accounts.buckets.values() for record in tenant_buckets.values()]
        )
        assert (rebuilt.tenants, rebuilt.keys, rebuilt.volumes) == (accounts.tenants, accounts.keys, accounts.volumes)
    assert set(inactive) >= {name for name, state in states.items() if state != "active"}


def test_state_transitions_of_a_tenant() -> None:
    assert {
        (state.value, action.value): to.value
        for state in TenantState
        for action in TenantAction
        if (to := next_state(state, action)) is not None and to is not state
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


def test_a_bucket_that_moves_to_another_plan_keeps_its_volume() -> None:
    accounts = Accounts()
    accounts.apply([row_of(Account("alba")), row_of(Bucket("alba", "receipts", "0" * 16, "basic"))])
    moved = accounts.put_bucket("alba", "receipts", "priority", frozenset({"priority"}), "1" * 16, 0)
    assert (moved.id, moved.plan) == ("0" * 16, "priority") and accounts.owner("0" * 16) == "alba"
