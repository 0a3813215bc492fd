use laburnumdeal_model::BootId;
use laburnumdeal_policy::{
    BeginReply, ClaimTable, HandOver, MAX_HAND_OVER_RECORDS, MirrorReply, Outcome, RequestKey,
};

use crate::support::{
    BOOT, FINGERPRINT, HOME, MIRROR, OTHER, answer, claim, fence, is_fenced, key, key_of,
    mirror_claim, resend, run, small_table, table, token,
};

const NEXT_BOOT: BootId = BootId(11);

fn hand_over(from: &ClaimTable, to: &ClaimTable) {
    for message in from.export() {
        let bytes = rmp_serde::to_vec(&message).unwrap();
        to.import(rmp_serde::from_slice(&bytes).unwrap());
    }
}

fn numbered(n: usize) -> RequestKey {
    key(&n.to_string())
}

#[test]
fn import_every_state() {
    let (home, mirror, successor) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    run(&home, &mirror, &key("finished"), "opened");
    claim(&home, &key("abandoned")).abandon();
    let mut started = claim(&home, &key("started"));
    started
        .confirm_mirror(mirror_claim(&mirror, &key("started")))
        .unwrap();
    let started = started.start().unwrap();
    let pending = claim(&home, &key("pending"));
    assert!(!successor.is_responsible_for(HOME, BOOT));
    hand_over(&home, &successor);
    assert!(successor.is_responsible_for(HOME, BOOT));
    assert!(pending.start().is_err());
    assert_eq!(resend(&successor, &key("finished")), Some(Outcome::Answer));
    assert_eq!(resend(&successor, &key("abandoned")), Some(Outcome::NotRun));
    assert_eq!(resend(&successor, &key("pending")), Some(Outcome::NotRun));
    assert_eq!(resend(&successor, &key("new")), Some(Outcome::NotRun));
    assert_eq!(resend(&successor, &key("started")), Some(Outcome::Unknown));
    started.finish(answer("late"));
    successor.store_answer(&key("started"), answer("late"));
    assert_eq!(resend(&successor, &key("started")), Some(Outcome::Answer));
    assert_eq!(
        successor.fence(&key("started"), FINGERPRINT).outcome(),
        Some(Outcome::Answer)
    );
}

#[test]
fn export_closes() {
    let (home, mirror, successor) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    hand_over(&home, &successor);
    assert!(is_fenced(&successor.fence(&key("a"), FINGERPRINT)));
    assert!(matches!(
        home.begin(&key("a"), FINGERPRINT),
        BeginReply::Fenced
    ));
    hand_over(&mirror, &successor);
    assert_eq!(mirror_claim(&mirror, &key("b")), MirrorReply::Fenced);
}

#[test]
fn import_from_mirror() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut pending = claim(&home, &key("pending"));
    mirror_claim(&mirror, &key("pending"));
    hand_over(&mirror, &home);
    // The acknowledgement was lost; the instance that imported the claims of the stopped mirror repeats it.
    pending
        .confirm_mirror(mirror_claim(&home, &key("pending")))
        .unwrap();
    pending.start().unwrap().finish(answer("opened"));
    let mut new = claim(&home, &key("new"));
    let reply = mirror_claim(&home, &key("new"));
    assert_eq!(new.confirm_mirror(reply), Err(Outcome::NotRun));
}

#[test]
fn import_partial_then_crash() {
    let (home, successor) = (table(HOME, BOOT), table(OTHER, BOOT));
    for n in 0..=MAX_HAND_OVER_RECORDS {
        assert!(is_fenced(&home.fence(&numbered(n), FINGERPRINT)));
    }
    let messages = home.export();
    assert_eq!(messages.len(), 2);
    assert!(!successor.import(messages[1].clone()));
    assert!(!successor.import(messages[1].clone()));
    assert_eq!(resend(&successor, &numbered(0)), Some(Outcome::Unknown));
    assert!(successor.import(messages[0].clone()));
    assert_eq!(successor.stats().records, MAX_HAND_OVER_RECORDS + 1);
    assert_eq!(resend(&successor, &key("new")), Some(Outcome::NotRun));
    let restarted = table(OTHER, NEXT_BOOT);
    assert_eq!(resend(&restarted, &key("new")), Some(Outcome::Unknown));
}

#[test]
fn import_parts_of_two_exports() {
    let (home, mirror, successor) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    for n in 0..=MAX_HAND_OVER_RECORDS {
        run(&home, &mirror, &numbered(n), "opened");
    }
    let (first, second) = (home.export(), home.export());
    assert!(!successor.import(first[0].clone()));
    assert!(!successor.import(second[1].clone()));
    assert!(successor.import(second[0].clone()));
    assert_eq!(successor.stats().records, MAX_HAND_OVER_RECORDS + 1);
}

#[test]
fn import_chain() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let (successor, next) = (table(OTHER, BOOT), table(HOME, NEXT_BOOT));
    run(&home, &mirror, &key("a"), "opened");
    hand_over(&home, &successor);
    hand_over(&successor, &next);
    assert_eq!(resend(&next, &key("a")), Some(Outcome::Answer));
    assert_eq!(resend(&next, &key("new")), Some(Outcome::NotRun));
    assert_eq!(next.stats().imported_runs, 2);
}

#[test]
fn import_parts_of_two_exporters() {
    let home = table(HOME, BOOT);
    let (successor, next) = (table(OTHER, BOOT), table(HOME, NEXT_BOOT));
    for n in 0..=MAX_HAND_OVER_RECORDS {
        assert!(is_fenced(&home.fence(&numbered(n), FINGERPRINT)));
    }
    let direct = home.export();
    hand_over(&home, &successor);
    let passed_on = successor.export();
    assert!(!next.import(direct[0].clone()));
    for part in passed_on
        .into_iter()
        .filter(|p| p.from == HOME && p.part > 0)
    {
        assert!(!next.import(part), "two parts of two exports");
    }
    assert_eq!(resend(&next, &key("new")), Some(Outcome::Unknown));
}

#[test]
fn import_own_run() {
    let home = table(HOME, BOOT);
    run(&home, &table(MIRROR, BOOT), &key("a"), "opened");
    let messages: Vec<HandOver> = table(HOME, BOOT).export();
    assert!(!home.import(messages[0].clone()));
    assert_eq!(resend(&home, &key("a")), Some(Outcome::Answer));
}

#[test]
fn import_mirror_fence_home_out_of_reach() {
    let (home, mirror, successor) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    mirror_claim(&mirror, &key("claimed"));
    hand_over(&mirror, &successor);
    assert_eq!(fence(&successor, &key("claimed")), Outcome::Unknown);
    assert_eq!(fence(&successor, &key("new")), Outcome::NotRun);
    let mut claim = claim(&home, &key("new"));
    let reply = mirror_claim(&successor, &key("new"));
    assert_eq!(claim.confirm_mirror(reply), Err(Outcome::NotRun));
}

#[test]
fn import_floor() {
    let (small, successor) = (small_table(1), table(OTHER, BOOT));
    for issued_ms in [1, 2] {
        assert!(is_fenced(
            &small.fence(&key_of(&token(issued_ms), "a"), FINGERPRINT)
        ));
    }
    hand_over(&small, &successor);
    assert_eq!(
        resend(&successor, &key_of(&token(1), "a")),
        Some(Outcome::Unknown)
    );
    assert_eq!(
        resend(&successor, &key_of(&token(2), "a")),
        Some(Outcome::NotRun)
    );
}
