use laburnumdeal_model::BootId;
use laburnumdeal_policy::{
    BeginReply, ClaimResult, FenceReply, MirrorReply, Outcome, RequestKey, UnknownReason,
};

use crate::support::{
    BOOT, FINGERPRINT, HOME, MIRROR, OTHER, answer, claim, fence, key, key_of, mirror_claim,
    resend, run, table, token,
};

const NEXT_BOOT: BootId = BootId(11);

#[test]
fn begin_after_finish() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    run(&home, &mirror, &key("a"), "opened");
    let BeginReply::Finished(stored) = home.begin(&key("a"), FINGERPRINT) else {
        panic!("no stored answer");
    };
    assert_eq!(stored.body, b"opened");
    mirror.store_answer(&key("a"), answer("opened"));
    assert_eq!(fence(&mirror, &key("a")), Outcome::Answer);
}

#[tokio::test]
async fn begin_while_running() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut first = claim(&home, &key("a"));
    let BeginReply::Running(second) = home.begin(&key("a"), FINGERPRINT) else {
        panic!("claimed twice");
    };
    first
        .confirm_mirror(mirror_claim(&mirror, &key("a")))
        .unwrap();
    let started = first.start().unwrap();
    let BeginReply::Running(third) = home.begin(&key("a"), FINGERPRINT) else {
        panic!("claimed twice");
    };
    assert_eq!(third.result(), None);
    let stored = started.finish(answer("opened"));
    assert_eq!(second.wait().await, ClaimResult::Answer(stored.clone()));
    assert_eq!(third.wait().await, ClaimResult::Answer(stored));
}

#[test]
fn begin_many_threads() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let send = || {
        let BeginReply::Claimed(mut claim) = home.begin(&key("a"), FINGERPRINT) else {
            return 0;
        };
        claim
            .confirm_mirror(mirror_claim(&mirror, &key("a")))
            .unwrap();
        claim.start().unwrap().finish(answer("opened"));
        1
    };
    let runs: u32 = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(send)).collect();
        threads.into_iter().map(|t| t.join().unwrap()).sum()
    });
    assert_eq!(runs, 1);
}

#[test]
fn begin_other_request() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    run(&home, &mirror, &key("a"), "opened");
    assert!(matches!(
        home.begin(&key("a"), FINGERPRINT + 1),
        BeginReply::KeyReused
    ));
    assert_eq!(
        home.fence(&key("a"), FINGERPRINT + 1),
        FenceReply::KeyReused
    );
}

#[test]
fn begin_wrong_instance() {
    let mirror = table(MIRROR, BOOT);
    let reason = UnknownReason::OtherRun;
    assert!(matches!(mirror.begin(&key("a"), FINGERPRINT), BeginReply::Unknown(r) if r == reason));
    let other = table(OTHER, BOOT);
    assert_eq!(
        other.fence(&key("a"), FINGERPRINT),
        FenceReply::Unknown(reason)
    );
}

#[test]
fn begin_without_mirror() {
    let home = table(HOME, BOOT);
    let mut alone = token(1);
    alone.mirror = None;
    let alone = key_of(&alone, "a");
    let started = claim(&home, &alone).start().unwrap();
    started.finish(answer("opened"));
    assert_eq!(resend(&home, &alone), Some(Outcome::Answer));
}

#[test]
fn start_unconfirmed() {
    let home = table(HOME, BOOT);
    assert!(claim(&home, &key("a")).start().is_err());
    assert_eq!(resend(&home, &key("a")), Some(Outcome::NotRun));
}

#[test]
fn abandon_lost_acknowledgement() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let claim = claim(&home, &key("a"));
    let BeginReply::Running(waiting) = home.begin(&key("a"), FINGERPRINT) else {
        panic!("claimed twice");
    };
    mirror_claim(&mirror, &key("a"));
    claim.abandon();
    assert_eq!(waiting.result(), Some(ClaimResult::NotRun));
    assert_eq!(resend(&home, &key("a")), Some(Outcome::NotRun));
    assert_eq!(fence(&mirror, &key("a")), Outcome::Unknown);
    mirror.store_fence(&key("a"), HOME, BOOT);
    assert_eq!(fence(&mirror, &key("a")), Outcome::NotRun);
}

#[test]
fn fence_home_out_of_reach() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    assert_eq!(fence(&mirror, &key("a")), Outcome::NotRun);
    let mut claim = claim(&home, &key("a"));
    let reply = mirror_claim(&mirror, &key("a"));
    assert_eq!(claim.confirm_mirror(reply), Err(Outcome::NotRun));
    assert!(claim.start().is_err());
    assert_eq!(resend(&home, &key("a")), Some(Outcome::NotRun));
}

#[test]
fn fence_after_claim() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut claim = claim(&home, &key("a"));
    let reply = mirror_claim(&mirror, &key("a"));
    assert_eq!(fence(&mirror, &key("a")), Outcome::Unknown);
    // The home was frozen here and resumes: it may start, since nobody was told that the request did not run.
    claim.confirm_mirror(reply).unwrap();
    let started = claim.start().unwrap();
    assert_eq!(fence(&home, &key("a")), Outcome::Unknown);
    started.finish_unknown();
    assert_eq!(resend(&home, &key("a")), Some(Outcome::Unknown));
}

#[test]
fn fence_pending_on_home() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut claim = claim(&home, &key("a"));
    claim
        .confirm_mirror(mirror_claim(&mirror, &key("a")))
        .unwrap();
    assert_eq!(fence(&home, &key("a")), Outcome::NotRun);
    assert!(claim.start().is_err());
}

#[test]
fn mirror_claim_repeated() {
    let mirror = table(MIRROR, BOOT);
    let claimed = MirrorReply::Claimed { mirror_boot: BOOT };
    assert_eq!(mirror_claim(&mirror, &key("a")), claimed);
    assert_eq!(mirror_claim(&mirror, &key("a")), claimed);
    let other = mirror.mirror_claim(&key("a"), FINGERPRINT, HOME, NEXT_BOOT);
    assert_eq!(other, MirrorReply::Unknown(UnknownReason::OtherRun));
}

#[test]
fn store_fence_after_answer() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    run(&home, &mirror, &key("a"), "opened");
    mirror.store_answer(&key("a"), answer("opened"));
    mirror.store_fence(&key("a"), HOME, BOOT);
    assert_eq!(fence(&mirror, &key("a")), Outcome::Answer);
}

#[test]
fn mirror_claim_late() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    claim(&home, &key("a")).abandon();
    let late = mirror_claim(&mirror, &key("a"));
    assert_eq!(late, MirrorReply::Claimed { mirror_boot: BOOT });
    assert_eq!(resend(&home, &key("a")), Some(Outcome::NotRun));
}

#[test]
fn finish_not_run_proof() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut claim = claim(&home, &key("a"));
    claim
        .confirm_mirror(mirror_claim(&mirror, &key("a")))
        .unwrap();
    claim.start().unwrap().finish_not_run();
    assert_eq!(resend(&home, &key("a")), Some(Outcome::NotRun));
}

#[test]
fn drop_started() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut claim = claim(&home, &key("a"));
    claim
        .confirm_mirror(mirror_claim(&mirror, &key("a")))
        .unwrap();
    drop(claim.start().unwrap());
    assert_eq!(resend(&home, &key("a")), Some(Outcome::Unknown));
}

/// Returns the outcomes of a resend and of a fence on the mirror, after a restart of either, both or neither.
fn after_restart(run_key: &RequestKey, home_restarts: bool, mirror_restarts: bool) -> [Outcome; 2] {
    let (mut home, mut mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    run(&home, &mirror, run_key, "opened");
    if home_restarts {
        home = table(HOME, NEXT_BOOT);
    }
    if mirror_restarts {
        mirror = table(MIRROR, NEXT_BOOT);
    }
    [resend(&home, run_key).unwrap(), fence(&mirror, run_key)]
}

#[test]
fn restart_one_or_both() {
    use Outcome::{Answer, Unknown};
    let key = key("a");
    assert_eq!(after_restart(&key, false, false), [Answer, Unknown]);
    assert_eq!(after_restart(&key, true, false), [Unknown, Unknown]);
    assert_eq!(after_restart(&key, false, true), [Answer, Unknown]);
    assert_eq!(after_restart(&key, true, true), [Unknown, Unknown]);
}

#[test]
fn restart_new_key_old_token() {
    let mirror = table(MIRROR, BOOT);
    let restarted = table(HOME, NEXT_BOOT);
    assert_eq!(resend(&restarted, &key("new")), Some(Outcome::Unknown));
    assert_eq!(fence(&mirror, &key("new")), Outcome::NotRun);
}
