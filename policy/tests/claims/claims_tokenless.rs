use std::time::Duration;

use laburnumdeal_model::BootId;
use laburnumdeal_policy::{
    BeginReply, ClaimSettings, ClaimTable, MirrorReply, Outcome, RequestKey, UnknownReason,
    pair_for_tokenless_key,
};
use tokio::time::advance;

use crate::support::{
    BOOT, FINGERPRINT, HOME, HORIZON_MS, MIRROR, OTHER, answer, claim, fence, mirror_claim, resend,
    run, settings, table, table_with_complete_history, tokenless_key,
};

const NEXT_BOOT: BootId = BootId(11);
const NOT_SYNCED: UnknownReason = UnknownReason::NotSynced;

/// Returns the nth tokenless key whose home is [`HOME`].
fn home_key(n: usize) -> RequestKey {
    let members = settings(HOME, BOOT).members;
    (0..)
        .map(|nonce| tokenless_key(&format!("rent-{nonce}")))
        .filter(|key| pair_for_tokenless_key(key.id(), &members).0 == HOME)
        .nth(n)
        .unwrap()
}

fn pair() -> (ClaimTable, ClaimTable) {
    (
        table_with_complete_history(HOME, BOOT),
        table_with_complete_history(MIRROR, BOOT),
    )
}

async fn pass_horizons(horizons: u64) {
    advance(Duration::from_millis(horizons * HORIZON_MS)).await;
}

/// Restarts the home and syncs it from its partner.
fn synced_home(mirror: &ClaimTable) -> ClaimTable {
    let home = table(HOME, NEXT_BOOT);
    home.sync_from(MIRROR, mirror.sync_records(HOME, NEXT_BOOT).unwrap());
    home
}

#[tokio::test(start_paused = true)]
async fn begin_tokenless_resend() {
    let (home, mirror) = pair();
    run(&home, &mirror, &home_key(0), "paid");
    assert_eq!(resend(&home, &home_key(0)), Some(Outcome::Answer));
    assert_eq!(fence(&mirror, &home_key(0)), Outcome::Unknown);
    assert!(matches!(
        mirror.begin(&home_key(0), FINGERPRINT),
        BeginReply::Unknown(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn begin_tokenless_both_restarted() {
    let (home, mirror) = (table(HOME, NEXT_BOOT), table(MIRROR, NEXT_BOOT));
    assert!(
        matches!(home.begin(&home_key(0), FINGERPRINT), BeginReply::Unknown(r) if r == NOT_SYNCED)
    );
    assert_eq!(
        mirror_claim(&mirror, &home_key(0)),
        MirrorReply::Unknown(NOT_SYNCED)
    );
    assert_eq!(mirror.sync_records(HOME, NEXT_BOOT), None);
    assert_eq!(fence(&mirror, &home_key(0)), Outcome::Unknown);
    pass_horizons(1).await;
    assert!(!home.accepts_tokenless_keys());
    pass_horizons(1).await;
    assert!(home.accepts_tokenless_keys());
    assert!(matches!(
        home.begin(&home_key(0), FINGERPRINT),
        BeginReply::Claimed(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn sync_from_partner() {
    let (home, mirror) = pair();
    run(&home, &mirror, &home_key(0), "paid");
    run(&home, &mirror, &home_key(1), "paid");
    mirror.store_answer(&home_key(1), answer("paid"));
    let home = synced_home(&mirror);
    assert_eq!(resend(&home, &home_key(0)), Some(Outcome::Unknown));
    assert_eq!(resend(&home, &home_key(1)), Some(Outcome::Answer));
    assert!(!home.accepts_tokenless_keys());
    assert!(matches!(
        home.begin(&home_key(2), FINGERPRINT),
        BeginReply::Fenced
    ));
    pass_horizons(2).await;
    assert!(matches!(
        home.begin(&home_key(3), FINGERPRINT),
        BeginReply::Claimed(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn sync_from_lost_fence() {
    let (home, mirror) = pair();
    // Only the home knows of the fence, and it crashes.
    assert_eq!(fence(&home, &home_key(0)), Outcome::NotRun);
    let home = synced_home(&mirror);
    assert_eq!(resend(&home, &home_key(0)), Some(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn sync_from_mirror_side() {
    let (home, _) = pair();
    let mut pending = claim(&home, &home_key(0));
    let mirror = table(MIRROR, NEXT_BOOT);
    mirror.sync_from(HOME, home.sync_records(MIRROR, NEXT_BOOT).unwrap());
    assert_eq!(fence(&mirror, &home_key(0)), Outcome::Unknown);
    assert_eq!(mirror_claim(&mirror, &home_key(1)), MirrorReply::Fenced);
    let reply = mirror_claim(&mirror, &home_key(0));
    assert_eq!(pending.confirm_mirror(reply), Err(Outcome::Unknown));
    assert!(pending.start().is_err());
}

#[tokio::test(start_paused = true)]
async fn sync_from_fence_lost_while_home_waits() {
    let (home, mirror) = pair();
    let mut pending = claim(&home, &home_key(0));
    // Only the mirror knows of the fence, and it crashes.
    assert_eq!(fence(&mirror, &home_key(0)), Outcome::NotRun);
    let mirror = table(MIRROR, NEXT_BOOT);
    mirror.sync_from(HOME, home.sync_records(MIRROR, NEXT_BOOT).unwrap());
    let reply = mirror_claim(&mirror, &home_key(0));
    assert!(pending.confirm_mirror(reply).is_err());
    assert!(pending.start().is_err());
}

#[tokio::test(start_paused = true)]
async fn sync_from_twice() {
    let (home, mirror) = pair();
    let mut pending = claim(&home, &home_key(0));
    mirror.sync_from(HOME, home.sync_records(MIRROR, BOOT).unwrap());
    pending
        .confirm_mirror(mirror_claim(&mirror, &home_key(0)))
        .unwrap();
    assert!(pending.start().is_ok());
}

#[tokio::test(start_paused = true)]
async fn mirror_claim_replaced_home() {
    let (old, mirror) = pair();
    let mut late = claim(&old, &home_key(0));
    let new = synced_home(&mirror);
    let reply = mirror_claim(&mirror, &home_key(0));
    assert_eq!(reply, MirrorReply::Unknown(UnknownReason::OtherRun));
    // The replaced run does not know what its successor did with the key.
    assert_eq!(late.confirm_mirror(reply), Err(Outcome::Unknown));
    assert_eq!(resend(&new, &home_key(0)), Some(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn tick_after_freeze() {
    let (home, mirror) = pair();
    let mut pending = claim(&home, &home_key(0));
    pending
        .confirm_mirror(mirror_claim(&mirror, &home_key(0)))
        .unwrap();
    run(&home, &mirror, &home_key(1), "paid");
    home.tick();
    pass_horizons(1).await;
    home.tick();
    assert!(home.accepts_tokenless_keys());
    advance(Duration::from_millis(HORIZON_MS + 1)).await;
    assert!(pending.start().is_err());
    // Another run may have replaced this one and run the request.
    assert!(
        matches!(home.begin(&home_key(2), FINGERPRINT), BeginReply::Unknown(r) if r == NOT_SYNCED)
    );
    assert_eq!(fence(&home, &home_key(2)), Outcome::Unknown);
    home.tick();
    pass_horizons(1).await;
    home.tick();
    assert!(!home.accepts_tokenless_keys());
    pass_horizons(1).await;
    home.tick();
    assert!(home.accepts_tokenless_keys());
}

#[tokio::test(start_paused = true)]
async fn confirm_mirror_replaced_mirror() {
    let (home, old) = pair();
    let mut pending = claim(&home, &home_key(0));
    home.sync_records(MIRROR, NEXT_BOOT).unwrap();
    let reply = mirror_claim(&old, &home_key(0));
    assert_eq!(pending.confirm_mirror(reply), Err(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn mirror_claim_other_run_claimed() {
    let (old, mirror) = pair();
    let _lost = claim(&old, &home_key(0));
    mirror_claim(&mirror, &home_key(0));
    let home = table_with_complete_history(HOME, NEXT_BOOT);
    let mut again = claim(&home, &home_key(0));
    let reply = mirror.mirror_claim(&home_key(0), FINGERPRINT, HOME, NEXT_BOOT);
    assert_eq!(reply, MirrorReply::ClaimedByOther);
    assert_eq!(again.confirm_mirror(reply), Err(Outcome::Unknown));
    assert_eq!(resend(&home, &home_key(0)), Some(Outcome::Unknown));
}

#[tokio::test(start_paused = true)]
async fn start_after_horizon() {
    let (home, mirror) = pair();
    let mut pending = claim(&home, &home_key(0));
    assert_eq!(fence(&mirror, &home_key(0)), Outcome::NotRun);
    pass_horizons(2).await;
    let reply = mirror_claim(&mirror, &home_key(0));
    assert_eq!(reply, MirrorReply::Claimed { mirror_boot: BOOT });
    pending.confirm_mirror(reply).unwrap();
    assert!(pending.start().is_err());
}

#[tokio::test(start_paused = true)]
async fn begin_tokenless_expired() {
    let (home, mirror) = pair();
    run(&home, &mirror, &home_key(0), "paid");
    let in_flight = claim(&home, &home_key(1));
    pass_horizons(2).await;
    assert!(matches!(
        home.begin(&home_key(1), FINGERPRINT),
        BeginReply::Running(_)
    ));
    drop(in_flight);
    assert!(matches!(
        home.begin(&home_key(2), FINGERPRINT),
        BeginReply::Claimed(_)
    ));
    assert_eq!(home.stats().records, 1);
    assert_eq!(home.stats().answer_bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn begin_tokenless_full() {
    let home = ClaimTable::new(ClaimSettings {
        tokenless_record_limit: 1,
        tokenless_history: laburnumdeal_policy::TokenlessHistory::Complete,
        ..settings(HOME, BOOT)
    });
    let _held = claim(&home, &home_key(0));
    let full = UnknownReason::Full;
    assert!(matches!(home.begin(&home_key(1), FINGERPRINT), BeginReply::Unknown(r) if r == full));
}

#[tokio::test(start_paused = true)]
async fn export_closes_tokenless_keys() {
    let (home, mirror) = pair();
    let mut pending = claim(&home, &home_key(0));
    pending
        .confirm_mirror(mirror_claim(&mirror, &home_key(0)))
        .unwrap();
    home.export();
    assert!(pending.start().is_err());
    assert!(!home.accepts_tokenless_keys());
    // A fence confirmed now would not be part of the hand-over.
    let stopped = UnknownReason::Stopped;
    assert!(
        matches!(home.begin(&home_key(1), FINGERPRINT), BeginReply::Unknown(r) if r == stopped)
    );
    assert_eq!(fence(&table(OTHER, BOOT), &home_key(0)), Outcome::Unknown);
}

/// Stops the home as planned and hands its records over to the mirror.
fn stop(home: &ClaimTable, mirror: &ClaimTable) {
    home.export();
    let records = home.export_tokenless(MIRROR).unwrap();
    mirror.import_tokenless(HOME, BOOT, records);
}

#[tokio::test(start_paused = true)]
async fn import_tokenless_planned_restart() {
    let (home, mirror) = pair();
    run(&home, &mirror, &home_key(0), "paid");
    assert_eq!(fence(&home, &home_key(1)), Outcome::NotRun);
    assert_eq!(home.export_tokenless(MIRROR), None, "before the export");
    stop(&home, &mirror);
    let home = synced_home(&mirror);
    assert!(home.accepts_tokenless_keys());
    assert_eq!(resend(&home, &home_key(0)), Some(Outcome::Answer));
    assert_eq!(resend(&home, &home_key(1)), Some(Outcome::NotRun));
    assert!(matches!(
        home.begin(&home_key(2), FINGERPRINT),
        BeginReply::Claimed(_)
    ));
    let again = mirror.sync_records(HOME, NEXT_BOOT).unwrap();
    assert!(again.is_complete, "the reply was lost");
}

#[tokio::test(start_paused = true)]
async fn import_tokenless_then_crash() {
    let (home, mirror) = pair();
    stop(&home, &mirror);
    let home = synced_home(&mirror);
    assert_eq!(fence(&home, &home_key(0)), Outcome::NotRun);
    let after_crash = mirror.sync_records(HOME, BootId(12)).unwrap();
    assert!(!after_crash.is_complete);
}

#[tokio::test(start_paused = true)]
async fn import_tokenless_late() {
    let (home, mirror) = pair();
    home.export();
    let records = home.export_tokenless(MIRROR).unwrap();
    assert!(!mirror.sync_records(HOME, NEXT_BOOT).unwrap().is_complete);
    mirror.import_tokenless(HOME, BOOT, records);
    assert!(!mirror.sync_records(HOME, BootId(12)).unwrap().is_complete);
}

#[tokio::test(start_paused = true)]
async fn import_tokenless_old() {
    let (home, mirror) = pair();
    stop(&home, &mirror);
    pass_horizons(2).await;
    assert!(!mirror.sync_records(HOME, NEXT_BOOT).unwrap().is_complete);
}

#[tokio::test(start_paused = true)]
async fn export_tokenless_after_crash() {
    let (_, mirror) = pair();
    let home = synced_home(&mirror);
    home.export();
    assert_eq!(
        home.export_tokenless(MIRROR),
        None,
        "fences of the crashed run may be lost"
    );
}
