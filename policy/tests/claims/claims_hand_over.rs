use laburnumdeal_model::BootId;
use laburnumdeal_policy::{
    BeginReply, ClaimTable, HandOver, MAX_HAND_OVER_RECORDS, MirrorReply, Outcome, RequestKey,
};

use crate::support::{
    BOOT, HOME, MIRROR, OTHER, REQUEST, answer, claim, fence, is_fenced, key, key_of, mirror_claim,
    resend, run, small_table, table, token,
};

const NEXT: BootId = BootId(11);

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
    let (home, mirror, heir) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    run(&home, &mirror, &key("finished"), "opened");
    claim(&home, &key("abandoned")).abandon();
    let mut flying = claim(&home, &key("flying"));
    flying
        .confirm_mirror(mirror_claim(&mirror, &key("flying")))
        .unwrap();
    let flying = flying.start().unwrap();
    let pending = claim(&home, &key("pending"));
    assert!(!heir.is_responsible_for(HOME, BOOT));
    hand_over(&home, &heir);
    assert!(heir.is_responsible_for(HOME, BOOT));
    assert!(pending.start().is_err());
    assert_eq!(resend(&heir, &key("finished")), Some(Outcome::Answer));
    assert_eq!(resend(&heir, &key("abandoned")), Some(Outcome::NotRun));
    assert_eq!(resend(&heir, &key("pending")), Some(Outcome::NotRun));
    assert_eq!(resend(&heir, &key("new")), Some(Outcome::NotRun));
    assert_eq!(resend(&heir, &key("flying")), Some(Outcome::Unknown));
    flying.finish(answer("late"));
    heir.store_answer(&key("flying"), answer("late"));
    assert_eq!(resend(&heir, &key("flying")), Some(Outcome::Answer));
    assert_eq!(
        heir.fence(&key("flying"), REQUEST).outcome(),
        Some(Outcome::Answer)
    );
}

#[test]
fn export_closes() {
    let (home, mirror, heir) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    hand_over(&home, &heir);
    assert!(is_fenced(&heir.fence(&key("a"), REQUEST)));
    assert!(matches!(home.begin(&key("a"), REQUEST), BeginReply::Fenced));
    hand_over(&mirror, &heir);
    assert_eq!(mirror_claim(&mirror, &key("b")), MirrorReply::Fenced);
}

#[test]
fn import_from_mirror() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let mut held = claim(&home, &key("held"));
    mirror_claim(&mirror, &key("held"));
    hand_over(&mirror, &home);
    // The acknowledgement was lost; the importer repeats it for the mirror that stopped.
    held.confirm_mirror(mirror_claim(&home, &key("held")))
        .unwrap();
    held.start().unwrap().finish(answer("opened"));
    let mut new = claim(&home, &key("new"));
    let reply = mirror_claim(&home, &key("new"));
    assert_eq!(new.confirm_mirror(reply), Err(Outcome::NotRun));
}

#[test]
fn import_partial_then_crash() {
    let (home, heir) = (table(HOME, BOOT), table(OTHER, BOOT));
    for n in 0..=MAX_HAND_OVER_RECORDS {
        assert!(is_fenced(&home.fence(&numbered(n), REQUEST)));
    }
    let messages = home.export();
    assert_eq!(messages.len(), 2);
    assert!(!heir.import(messages[1].clone()));
    assert!(!heir.import(messages[1].clone()));
    assert_eq!(resend(&heir, &numbered(0)), Some(Outcome::Unknown));
    assert!(heir.import(messages[0].clone()));
    assert_eq!(heir.stats().records, MAX_HAND_OVER_RECORDS + 1);
    assert_eq!(resend(&heir, &key("new")), Some(Outcome::NotRun));
    let restarted = table(OTHER, NEXT);
    assert_eq!(resend(&restarted, &key("new")), Some(Outcome::Unknown));
}

#[test]
fn import_parts_of_two_exports() {
    let (home, mirror, heir) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    for n in 0..=MAX_HAND_OVER_RECORDS {
        run(&home, &mirror, &numbered(n), "opened");
    }
    let (first, second) = (home.export(), home.export());
    assert!(!heir.import(first[0].clone()));
    assert!(!heir.import(second[1].clone()));
    assert!(heir.import(second[0].clone()));
    assert_eq!(heir.stats().records, MAX_HAND_OVER_RECORDS + 1);
}

#[test]
fn import_chain() {
    let (home, mirror) = (table(HOME, BOOT), table(MIRROR, BOOT));
    let (heir, next) = (table(OTHER, BOOT), table(HOME, NEXT));
    run(&home, &mirror, &key("a"), "opened");
    hand_over(&home, &heir);
    hand_over(&heir, &next);
    assert_eq!(resend(&next, &key("a")), Some(Outcome::Answer));
    assert_eq!(resend(&next, &key("new")), Some(Outcome::NotRun));
    assert_eq!(next.stats().imported_runs, 2);
}

#[test]
fn import_parts_of_two_exporters() {
    let home = table(HOME, BOOT);
    let (heir, next) = (table(OTHER, BOOT), table(HOME, NEXT));
    for n in 0..=MAX_HAND_OVER_RECORDS {
        assert!(is_fenced(&home.fence(&numbered(n), REQUEST)));
    }
    let direct = home.export();
    hand_over(&home, &heir);
    let passed_on = heir.export();
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
    let (home, mirror, heir) = (table(HOME, BOOT), table(MIRROR, BOOT), table(OTHER, BOOT));
    mirror_claim(&mirror, &key("claimed"));
    hand_over(&mirror, &heir);
    assert_eq!(fence(&heir, &key("claimed")), Outcome::Unknown);
    assert_eq!(fence(&heir, &key("new")), Outcome::NotRun);
    let mut claim = claim(&home, &key("new"));
    let reply = mirror_claim(&heir, &key("new"));
    assert_eq!(claim.confirm_mirror(reply), Err(Outcome::NotRun));
}

#[test]
fn import_floor() {
    let (small, heir) = (small_table(1), table(OTHER, BOOT));
    for issued_ms in [1, 2] {
        assert!(is_fenced(
            &small.fence(&key_of(&token(issued_ms), "a"), REQUEST)
        ));
    }
    hand_over(&small, &heir);
    assert_eq!(
        resend(&heir, &key_of(&token(1), "a")),
        Some(Outcome::Unknown)
    );
    assert_eq!(
        resend(&heir, &key_of(&token(2), "a")),
        Some(Outcome::NotRun)
    );
}
