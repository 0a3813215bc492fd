use laburnumdeal_policy::{
    BeginReply, ClaimSettings, ClaimTable, FenceReply, MirrorReply, Outcome, RequestKey,
    UnknownReason,
};

use crate::support::{
    BOOT, FINGERPRINT, HOME, MIRROR, answer, claim, fence, key, key_of, mirror_claim, resend, run,
    settings, table, token,
};

const BELOW_FLOOR: UnknownReason = UnknownReason::BelowFloor;

fn small(record_limit: usize, answer_budget_bytes: usize) -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        record_limit,
        answer_budget_bytes,
        ..settings(HOME, BOOT)
    })
}

fn stamped(issued_ms: u64) -> RequestKey {
    key_of(&token(issued_ms), "a")
}

#[test]
fn begin_evicted_record() {
    let home = small(2, 1_000);
    let mirror = table(MIRROR, BOOT);
    for issued_ms in [30, 10, 20] {
        run(&home, &mirror, &stamped(issued_ms), "opened");
    }
    assert_eq!(home.stats().records, 2);
    assert_eq!(home.stats().floor_ms, Some(10));
    for unknown in [stamped(10), stamped(9), key_of(&token(10), "new")] {
        assert!(
            matches!(home.begin(&unknown, FINGERPRINT), BeginReply::Unknown(r) if r == BELOW_FLOOR)
        );
        assert_eq!(
            home.fence(&unknown, FINGERPRINT),
            FenceReply::Unknown(BELOW_FLOOR)
        );
    }
    assert_eq!(resend(&home, &stamped(20)), Some(Outcome::Answer));
    assert!(matches!(
        home.begin(&stamped(11), FINGERPRINT),
        BeginReply::Claimed(_)
    ));
}

#[test]
fn mirror_claim_evicted_fence() {
    let mirror = ClaimTable::new(ClaimSettings {
        record_limit: 1,
        ..settings(MIRROR, BOOT)
    });
    assert_eq!(fence(&mirror, &stamped(1)), Outcome::NotRun);
    assert_eq!(fence(&mirror, &stamped(2)), Outcome::NotRun);
    let reply = mirror_claim(&mirror, &stamped(1));
    assert_eq!(reply, MirrorReply::Unknown(BELOW_FLOOR));
}

#[test]
fn start_evicted_claim() {
    let home = small(1, 1_000);
    let mirror = table(MIRROR, BOOT);
    let mut old = claim(&home, &stamped(1));
    old.confirm_mirror(mirror_claim(&mirror, &stamped(1)))
        .unwrap();
    let _new = claim(&home, &stamped(2));
    assert!(old.start().is_err());
}

#[test]
fn finish_beyond_budget() {
    let body = "b".repeat(400);
    let home = small(100, 1_000);
    let mirror = table(MIRROR, BOOT);
    for nonce in ["a", "b", "c"] {
        run(&home, &mirror, &key(nonce), &body);
        assert!(home.stats().answer_bytes <= 1_000);
    }
    assert_eq!(resend(&home, &key("a")), Some(Outcome::Unknown));
    assert!(matches!(
        home.begin(&key("a"), FINGERPRINT),
        BeginReply::AlreadyRan
    ));
    assert_eq!(resend(&home, &key("c")), Some(Outcome::Answer));
    run(&home, &mirror, &key("d"), &"b".repeat(2_000));
    assert!(matches!(
        home.begin(&key("d"), FINGERPRINT),
        BeginReply::AlreadyRan
    ));
    assert_eq!(home.stats().answer_bytes, 0);
}

#[test]
fn stats_evicted_answers() {
    let home = small(2, 1 << 20);
    let mirror = table(MIRROR, BOOT);
    run(&home, &mirror, &stamped(1), "opened");
    let one = home.stats().answer_bytes;
    for issued_ms in 2..50 {
        run(&home, &mirror, &stamped(issued_ms), "opened");
    }
    assert_eq!(home.stats().answer_bytes, 2 * one);
    home.store_answer(&stamped(49), answer("another"));
    assert_eq!(home.stats().answer_bytes, 2 * one);
}
