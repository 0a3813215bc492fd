use std::time::Duration;

use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{
    BootTime, QuotaBank, QuotaLimit, QuotaReport, QuotaSettings, ReportHeader,
};

/// 55 requests in a window.
const LIMIT: QuotaLimit = QuotaLimit {
    milli_per_s: 10_000,
    burst: 0,
};

fn at(ms: u64) -> BootTime {
    BootTime::from(Duration::from_millis(ms))
}

fn header(instance: &str, sequence: u64) -> ReportHeader {
    ReportHeader {
        instance: instance.to_owned(),
        start: 1,
        uptime_ms: 60_000,
        sequence,
        bank: Term(1),
        version: Version(1),
    }
}

fn report(held: u32, wanted: u32) -> [QuotaReport; 1] {
    let customer = "ama".to_owned();
    let share = held;
    let limit = LIMIT;
    [QuotaReport {
        customer,
        limit,
        share,
        held,
        wanted,
    }]
}

fn bank(is_blank: bool) -> QuotaBank {
    let mut bank = QuotaBank::new(QuotaSettings::default());
    bank.lead(Term(1), is_blank, at(0));
    bank
}

fn share(
    bank: &mut QuotaBank,
    instance: &str,
    sequence: u64,
    held: u32,
    wanted: u32,
    ms: u64,
) -> u32 {
    let reports = report(held, wanted);
    let grants = bank.exchange(&header(instance, sequence), &reports, || None, at(ms));
    grants.expect("a new message")[0].share
}

// Guards against: an instance falls silent, and its share is given away while it may still use it,
// or for ever kept from the others.
#[test]
fn exchange_keeps_the_share_of_a_silent_instance_until_its_last_window_has_ended() {
    let mut bank = bank(true);
    assert_eq!(share(&mut bank, "a", 1, 0, 55, 0), 55);
    assert_eq!(share(&mut bank, "b", 1, 0, 55, 9_000), 0);
    assert_eq!(share(&mut bank, "b", 2, 0, 55, 9_300), 55);
}

// Guards against: a report that was held up on the way undoes a later one.
#[test]
fn exchange_of_an_old_message_is_refused() {
    let mut bank = bank(true);
    assert_eq!(share(&mut bank, "a", 2, 0, 50, 0), 52);
    assert_eq!(
        bank.exchange(&header("a", 1), &report(0, 0), || None, at(10)),
        None
    );
    assert_eq!(
        bank.exchange(&header("a", 2), &report(0, 0), || None, at(10)),
        None
    );
    assert_eq!(share(&mut bank, "b", 1, 0, 50, 20), 3);
}

// Guards against: an instance that has started again gets the share that its earlier process has
// used up.
#[test]
fn exchange_of_a_new_start_leaves_the_share_of_the_old_one_charged() {
    let mut bank = bank(true);
    assert_eq!(share(&mut bank, "a", 1, 0, 55, 0), 55);
    let again = ReportHeader {
        start: 2,
        ..header("a", 1)
    };
    let grants = bank
        .exchange(&again, &report(0, 10), || None, at(1_000))
        .unwrap();
    assert_eq!(grants[0].share, 0);
}

// Guards against: a new leader gives out what instances hold from the earlier one.
#[test]
fn exchange_of_a_new_leader_raises_nothing_until_all_shares_have_ended() {
    let mut bank = bank(false);
    assert_eq!(share(&mut bank, "a", 1, 20, 40, 0), 20);
    assert_eq!(share(&mut bank, "a", 2, 20, 40, 9_000), 20);
    assert_eq!(share(&mut bank, "a", 3, 20, 40, 9_100), 47);
}

// Guards against: instances wait for the end of all shares although each has told what it holds.
// One that has not answered this leader, or has just started, may have more to tell.
#[test]
fn exchange_with_all_of_the_roster_raises_at_once() {
    let roster = || Some(vec!["a".to_owned(), "b".to_owned()]);
    let mut bank = bank(false);
    let _ = bank.exchange(&header("a", 1), &report(20, 40), roster, at(0));
    let early = ReportHeader {
        bank: Term(0),
        ..header("b", 1)
    };
    let _ = bank.exchange(&early, &report(10, 10), roster, at(10));
    assert!(!bank.is_settled());
    let fresh = ReportHeader {
        uptime_ms: 4_000,
        ..header("b", 2)
    };
    let _ = bank.exchange(&fresh, &report(10, 10), roster, at(20));
    assert!(!bank.is_settled());
    let _ = bank.exchange(&header("b", 3), &report(10, 10), roster, at(30));
    assert!(bank.is_settled());
}

// Guards against: a bank that led before, and leads again, relies on what it knew then.
#[test]
fn lead_in_a_new_term_forgets_all() {
    let mut bank = bank(true);
    assert_eq!(share(&mut bank, "a", 1, 0, 10, 0), 20);
    bank.lead(Term(1), false, at(100));
    assert!(bank.is_settled());
    bank.lead(Term(3), false, at(200));
    assert!(!bank.is_settled());
    assert_eq!(share(&mut bank, "b", 1, 0, 10, 300), 0);
}

// Guards against: after a change of the leader, what some instances no longer need stays with them,
// or more is given out than they held.
#[test]
fn exchange_of_a_new_leader_divides_what_is_known_to_be_held() {
    let mut bank = bank(false);
    assert_eq!(share(&mut bank, "a", 1, 0, 40, 0), 0);
    let left = share(&mut bank, "b", 1, 20, 4, 10);
    assert!(left < 20);
    // It is charged with what it held until it reports less.
    assert_eq!(share(&mut bank, "a", 2, 0, 40, 20), 0);
    let left = share(&mut bank, "b", 2, left, 4, 500);
    let raised = share(&mut bank, "a", 3, 0, 40, 510);
    assert!(raised >= 16 && raised + left <= 20, "{raised} and {left}");
    assert!(!bank.is_settled());
}
