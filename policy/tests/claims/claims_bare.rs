use std::time::Duration;

use laburnumdeal_model::BootId;
use laburnumdeal_policy::{
    BeginReply, ClaimSettings, ClaimTable, MirrorReply, Outcome, RequestKey, UnknownReason,
    pair_for_tokenless_key,
};
use tokio::time::advance;

use crate::support::{
    BOOT, HOME, HORIZON_MS, MIRROR, OTHER, REQUEST, answer, bare_key, claim, complete_table, fence,
    mirror_claim, resend, run, settings, table,
};

const NEXT: BootId = BootId(11);
const NOT_SYNCED: UnknownReason = UnknownReason::NotSynced;

/// Returns the nth key whose home is [`HOME`].
fn at_home(n: usize) -> RequestKey {
    let members = settings(HOME, BOOT).members;
    (0..)
        .map(|nonce| bare_key(&format!("rent-{nonce}")))
        .filter(|key| pair_for_tokenless_key(key.id(), &members).0 == HOME)
        .nth(n)
        .unwrap()
}

fn pair() -> (ClaimTable, ClaimTable) {
    (complete_table(HOME, BOOT), complete_table(MIRROR, BOOT))
}

async fn pass(horizons: u64) {
    advance(Duration::from_millis(horizons * HORIZON_MS)).await;
}

/// Restarts the home and syncs it from its partner.
fn synced_home(mirror: &ClaimTable) -> ClaimTable {
    let home = table(HOME, NEXT);
    home.sync_from(MIRROR, mirror.sync_records(HOME, NEXT).unwrap());
    home
}

#[tokio::test(start_paused = true)]
async fn begin_bare_resend() {
    let (home, mirror) = pair();
    run(&home, &mirror, &at_home(0), "paid");
    assert_eq!(resend(&home, &at_home(0)), Some(Outcome::Answer));
    assert_eq!(fence(&mirror, &at_home(0)), Outcome::Unknown);
    assert!(matches!(
        mirror.begin(&at_home(0), REQUEST),
        BeginReply::Unknown(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn begin_bare_both_blank() {
    let (home, mirror) = (table(HOME, NEXT), table(MIRROR, NEXT));
    assert!(matches!(home.begin(&at_home(0), REQUEST), BeginReply::Unknown(r) if r == NOT_SYNCED));
    assert_eq!(
        mirror_claim(&mirror, &at_home(0)),
        MirrorReply::Unknown(NOT_SYNCED)
    );
    assert_eq!(mirror.sync_records(HOME, NEXT), None);
    assert_eq!(fence(&mirror, &at_home(0)), Outcome::Unknown);
    pass(1).await;
    assert!(!home.accepts_tokenless_keys());
    pass(1).await;
    assert!(home.accepts_tokenless_keys());
    assert!(matches!(
        home.begin(&at_home(0), REQUEST),
        BeginReply::Claimed(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn sync_from_partner() {
    let (home, mirror) = pair();
    run(&home, &mirror, &at_home(0), "paid");
    run(&home, &mirror, &at_home(1), "paid");
    mirror.store_answer(&at_home(1), answer("paid"));
    let home = synced_home(&mirror);
    assert_eq!(resend(&home, &at_home(0)), Some(Outcome::Unknown));
    assert_eq!(resend(&home, &at_home(1)), Some(Outcome::Answer));
    assert!(!home.accepts_tokenless_keys());
    assert!(matches!(
        home.begin(&at_home(2), REQUEST),
        BeginReply::Fenced
    ));
    pass(2).await;
    assert!(matches!(
        home.begin(&at_home(3), REQUEST),
        BeginReply::Claimed(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn sync_from_lost_fence() {
    let (home, mirror) = pair();
    // Only the home knows of the fence, and it dies.
    assert_eq!(fence(&home, &at_home(0)), Outcome::NotRun);
    let home = synced_home(&mirror);
    assert_eq!(resend(&home, &at_home(0)), Some(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn sync_from_mirror_side() {
    let (home, _) = pair();
    let mut held = claim(&home, &at_home(0));
    let mirror = table(MIRROR, NEXT);
    mirror.sync_from(HOME, home.sync_records(MIRROR, NEXT).unwrap());
    assert_eq!(fence(&mirror, &at_home(0)), Outcome::Unknown);
    assert_eq!(mirror_claim(&mirror, &at_home(1)), MirrorReply::Fenced);
    let reply = mirror_claim(&mirror, &at_home(0));
    assert_eq!(held.confirm_mirror(reply), Err(Outcome::Unknown));
    assert!(held.start().is_err());
}

#[tokio::test(start_paused = true)]
async fn sync_from_fence_lost_while_home_waits() {
    let (home, mirror) = pair();
    let mut held = claim(&home, &at_home(0));
    // Only the mirror knows of the fence, and it dies.
    assert_eq!(fence(&mirror, &at_home(0)), Outcome::NotRun);
    let mirror = table(MIRROR, NEXT);
    mirror.sync_from(HOME, home.sync_records(MIRROR, NEXT).unwrap());
    let reply = mirror_claim(&mirror, &at_home(0));
    assert!(held.confirm_mirror(reply).is_err());
    assert!(held.start().is_err());
}

#[tokio::test(start_paused = true)]
async fn sync_from_twice() {
    let (home, mirror) = pair();
    let mut held = claim(&home, &at_home(0));
    mirror.sync_from(HOME, home.sync_records(MIRROR, BOOT).unwrap());
    held.confirm_mirror(mirror_claim(&mirror, &at_home(0)))
        .unwrap();
    assert!(held.start().is_ok());
}

#[tokio::test(start_paused = true)]
async fn mirror_claim_replaced_home() {
    let (old, mirror) = pair();
    let mut late = claim(&old, &at_home(0));
    let new = synced_home(&mirror);
    let reply = mirror_claim(&mirror, &at_home(0));
    assert_eq!(reply, MirrorReply::Unknown(UnknownReason::OtherRun));
    // The replaced run cannot know what the one after it did.
    assert_eq!(late.confirm_mirror(reply), Err(Outcome::Unknown));
    assert_eq!(resend(&new, &at_home(0)), Some(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn tick_after_freeze() {
    let (home, mirror) = pair();
    let mut held = claim(&home, &at_home(0));
    held.confirm_mirror(mirror_claim(&mirror, &at_home(0)))
        .unwrap();
    run(&home, &mirror, &at_home(1), "paid");
    home.tick();
    pass(1).await;
    home.tick();
    assert!(home.accepts_tokenless_keys());
    advance(Duration::from_millis(HORIZON_MS + 1)).await;
    assert!(held.start().is_err());
    // Another run may have taken its place and run the key.
    assert!(matches!(home.begin(&at_home(2), REQUEST), BeginReply::Unknown(r) if r == NOT_SYNCED));
    assert_eq!(fence(&home, &at_home(2)), Outcome::Unknown);
    home.tick();
    pass(1).await;
    home.tick();
    assert!(!home.accepts_tokenless_keys());
    pass(1).await;
    home.tick();
    assert!(home.accepts_tokenless_keys());
}

#[tokio::test(start_paused = true)]
async fn confirm_mirror_replaced_mirror() {
    let (home, old) = pair();
    let mut held = claim(&home, &at_home(0));
    home.sync_records(MIRROR, NEXT).unwrap();
    let reply = mirror_claim(&old, &at_home(0));
    assert_eq!(held.confirm_mirror(reply), Err(Outcome::NotRun));
}

#[tokio::test(start_paused = true)]
async fn mirror_claim_other_run_claimed() {
    let (old, mirror) = pair();
    let _lost = claim(&old, &at_home(0));
    mirror_claim(&mirror, &at_home(0));
    let home = complete_table(HOME, NEXT);
    let mut again = claim(&home, &at_home(0));
    let reply = mirror.mirror_claim(&at_home(0), REQUEST, HOME, NEXT);
    assert_eq!(reply, MirrorReply::ClaimedByOther);
    assert_eq!(again.confirm_mirror(reply), Err(Outcome::Unknown));
    assert_eq!(resend(&home, &at_home(0)), Some(Outcome::Unknown));
}

#[tokio::test(start_paused = true)]
async fn start_after_horizon() {
    let (home, mirror) = pair();
    let mut held = claim(&home, &at_home(0));
    assert_eq!(fence(&mirror, &at_home(0)), Outcome::NotRun);
    pass(2).await;
    let reply = mirror_claim(&mirror, &at_home(0));
    assert_eq!(reply, MirrorReply::Claimed { mirror_boot: BOOT });
    held.confirm_mirror(reply).unwrap();
    assert!(held.start().is_err());
}

#[tokio::test(start_paused = true)]
async fn begin_bare_expired() {
    let (home, mirror) = pair();
    run(&home, &mirror, &at_home(0), "paid");
    let flying = claim(&home, &at_home(1));
    pass(2).await;
    assert!(matches!(
        home.begin(&at_home(1), REQUEST),
        BeginReply::Running(_)
    ));
    drop(flying);
    assert!(matches!(
        home.begin(&at_home(2), REQUEST),
        BeginReply::Claimed(_)
    ));
    assert_eq!(home.stats().records, 1);
    assert_eq!(home.stats().answer_bytes, 0);
}

#[tokio::test(start_paused = true)]
async fn begin_bare_full() {
    let home = ClaimTable::new(ClaimSettings {
        tokenless_record_limit: 1,
        tokenless_history: laburnumdeal_policy::TokenlessHistory::Complete,
        ..settings(HOME, BOOT)
    });
    let _held = claim(&home, &at_home(0));
    let full = UnknownReason::Full;
    assert!(matches!(home.begin(&at_home(1), REQUEST), BeginReply::Unknown(r) if r == full));
}

#[tokio::test(start_paused = true)]
async fn export_closes_bare() {
    let (home, mirror) = pair();
    let mut held = claim(&home, &at_home(0));
    held.confirm_mirror(mirror_claim(&mirror, &at_home(0)))
        .unwrap();
    home.export();
    assert!(held.start().is_err());
    assert!(!home.accepts_tokenless_keys());
    // A fence told now would be in no hand-over.
    let stopped = UnknownReason::Stopped;
    assert!(matches!(home.begin(&at_home(1), REQUEST), BeginReply::Unknown(r) if r == stopped));
    assert_eq!(fence(&table(OTHER, BOOT), &at_home(0)), Outcome::Unknown);
}

/// Stops the home as planned and tells its partner.
fn stop(home: &ClaimTable, mirror: &ClaimTable) {
    home.export();
    let records = home.export_tokenless(MIRROR).unwrap();
    mirror.import_tokenless(HOME, BOOT, records);
}

#[tokio::test(start_paused = true)]
async fn bare_import_planned_restart() {
    let (home, mirror) = pair();
    run(&home, &mirror, &at_home(0), "paid");
    assert_eq!(fence(&home, &at_home(1)), Outcome::NotRun);
    assert_eq!(home.export_tokenless(MIRROR), None, "before the export");
    stop(&home, &mirror);
    let home = synced_home(&mirror);
    assert!(home.accepts_tokenless_keys());
    assert_eq!(resend(&home, &at_home(0)), Some(Outcome::Answer));
    assert_eq!(resend(&home, &at_home(1)), Some(Outcome::NotRun));
    assert!(matches!(
        home.begin(&at_home(2), REQUEST),
        BeginReply::Claimed(_)
    ));
    let again = mirror.sync_records(HOME, NEXT).unwrap();
    assert!(again.is_complete, "the reply was lost");
}

#[tokio::test(start_paused = true)]
async fn bare_import_then_crash() {
    let (home, mirror) = pair();
    stop(&home, &mirror);
    let home = synced_home(&mirror);
    assert_eq!(fence(&home, &at_home(0)), Outcome::NotRun);
    let after_crash = mirror.sync_records(HOME, BootId(12)).unwrap();
    assert!(!after_crash.is_complete);
}

#[tokio::test(start_paused = true)]
async fn bare_import_late() {
    let (home, mirror) = pair();
    home.export();
    let records = home.export_tokenless(MIRROR).unwrap();
    assert!(!mirror.sync_records(HOME, NEXT).unwrap().is_complete);
    mirror.import_tokenless(HOME, BOOT, records);
    assert!(!mirror.sync_records(HOME, BootId(12)).unwrap().is_complete);
}

#[tokio::test(start_paused = true)]
async fn bare_import_old() {
    let (home, mirror) = pair();
    stop(&home, &mirror);
    pass(2).await;
    assert!(!mirror.sync_records(HOME, NEXT).unwrap().is_complete);
}

#[tokio::test(start_paused = true)]
async fn bare_export_after_crash() {
    let (_, mirror) = pair();
    let home = synced_home(&mirror);
    home.export();
    assert_eq!(
        home.export_tokenless(MIRROR),
        None,
        "fences of the crashed run may be lost"
    );
}
