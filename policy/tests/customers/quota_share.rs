use std::time::Duration;

use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{
    BootTime, QuotaDecision, QuotaGrant, QuotaLimit, QuotaRefusal, QuotaSettings, QuotaShares,
    QuotaStanding,
};

const LIMIT: QuotaLimit = QuotaLimit {
    milli_per_s: 10_000,
    burst: 0,
};

fn at(ms: u64) -> BootTime {
    BootTime::from(Duration::from_millis(ms))
}

/// Returns shares of which one, of `share` requests, was asked for at 0.
fn granted(share: u32) -> QuotaShares {
    let mut shares = QuotaShares::new("entry-1", 1, QuotaSettings::default(), at(0));
    for _ in 0..10 {
        shares.add_arrival("ama", LIMIT, at(0));
    }
    answer(&mut shares, share, at(0));
    shares
}

fn answer(shares: &mut QuotaShares, share: u32, now: BootTime) {
    let (header, _) = shares.begin_report(Version(1), now);
    let customer = "ama".to_owned();
    let grants = [QuotaGrant { customer, share }];
    shares.finish_report(header.sequence, Term(1), true, &grants);
}

fn admitted(shares: &mut QuotaShares, now: BootTime) -> usize {
    let admits = |_: &usize| shares.decide("ama", at(0), now) == QuotaDecision::Admitted;
    (0..20).filter(admits).count()
}

// Guards against: a share counts in fixed windows, so that two follow each other at their border.
#[test]
fn decide_admits_the_share_in_each_sliding_window() {
    let mut shares = granted(4);
    assert_eq!(admitted(&mut shares, at(3_900)), 4);
    answer(&mut shares, 4, at(3_950));
    assert_eq!(admitted(&mut shares, at(7_900)), 0);
    answer(&mut shares, 4, at(7_950));
    assert_eq!(admitted(&mut shares, at(8_920)), 4);
}

// Guards against: a cut-off instance goes on with a share that the bank has given to others.
#[test]
fn decide_after_the_end_of_the_share_admits_nothing() {
    let mut shares = granted(4);
    assert_eq!(admitted(&mut shares, at(4_000)), 0);
    assert_eq!(
        shares.decide("ama", at(4_000), at(4_000)),
        QuotaDecision::Ask
    );
}

// Guards against: a reply that was held up, to a message that the instance has given up, raises a
// share that was reported lower since.
#[test]
fn finish_report_of_an_earlier_message_is_ignored() {
    let mut shares = granted(0);
    let (old, _) = shares.begin_report(Version(1), at(100));
    let _ = shares.begin_report(Version(1), at(800));
    let customer = "ama".to_owned();
    let grants = [QuotaGrant { customer, share: 9 }];
    shares.finish_report(old.sequence, Term(1), true, &grants);
    assert_eq!(admitted(&mut shares, at(900)), 0);
}

// Guards against: a lowered limit waits for the bank, which the instance may not reach.
#[test]
fn add_arrival_under_a_lower_limit_lowers_the_share_at_once() {
    let mut shares = granted(20);
    let lower = QuotaLimit {
        milli_per_s: 5_000,
        burst: 0,
    };
    shares.add_arrival("ama", lower, at(100));
    assert_eq!(admitted(&mut shares, at(100)), 9);
    shares.add_arrival("ama", LIMIT, at(200));
    assert_eq!(admitted(&mut shares, at(200)), 0);
}

// Guards against: requests over the limit are told to come back all at the same time.
#[test]
fn decide_over_the_limit_spreads_the_times_to_come_back() {
    let mut shares = granted(5);
    for step in 0..5 {
        assert_eq!(
            shares.decide("ama", at(0), at(step * 100)),
            QuotaDecision::Admitted
        );
    }
    let mut times = Vec::new();
    for _ in 0..5 {
        let decision = shares.decide("ama", at(0), at(500));
        let QuotaDecision::Refused(QuotaRefusal::OverLimit { retry_after, .. }) = decision else {
            panic!("{decision:?}");
        };
        times.push(retry_after.as_millis() as u64);
    }
    times.sort_unstable();
    assert_eq!(times, [4_510, 4_610, 4_710, 4_810, 4_910]);
}

// Guards against: a request waits for an answer although one has just said that there is no room.
#[test]
fn decide_after_a_scarce_answer_refuses_at_once() {
    let mut shares = granted(1);
    assert_eq!(admitted(&mut shares, at(10)), 1);
    let decision = shares.decide("ama", at(20), at(20));
    assert!(matches!(
        decision,
        QuotaDecision::Refused(QuotaRefusal::OverLimit { .. })
    ));
    assert_eq!(
        shares.decide("ama", at(1_000), at(1_000)),
        QuotaDecision::Ask
    );
}

// Guards against: requests that are refused for another reason after they were admitted, as upstreams are
// busy, use up the quota of their customer.
#[test]
fn give_back_makes_room_for_as_many_requests() {
    let mut shares = granted(4);
    assert_eq!(admitted(&mut shares, at(100)), 4);
    shares.give_back("ama", at(100));
    shares.give_back("ama", at(105));
    // Nothing was admitted then, or by that customer.
    shares.give_back("ama", at(300));
    shares.give_back("kofi", at(100));
    assert_eq!(admitted(&mut shares, at(200)), 2);
}

// Guards against: what is given back late makes room twice, as its request has left the window before.
#[test]
fn give_back_after_the_window_makes_no_room() {
    let mut shares = granted(4);
    assert_eq!(admitted(&mut shares, at(0)), 4);
    answer(&mut shares, 4, at(3_900));
    assert_eq!(admitted(&mut shares, at(5_200)), 4);
    shares.give_back("ama", at(0));
    assert_eq!(admitted(&mut shares, at(5_300)), 0);
}

// Guards against: operators are shown other figures than those that requests are decided by.
#[test]
fn standing_is_what_the_share_decides_by() {
    let mut shares = granted(4);
    assert_eq!(admitted(&mut shares, at(1_000)), 4);
    let standing = shares.standing("ama", at(1_500)).unwrap();
    let expected = QuotaStanding {
        limit: 55,
        share: 4,
        held: 4,
        wanted: 10,
        age: Some(Duration::from_millis(1_500)),
    };
    assert_eq!(standing, expected);
    assert_eq!(shares.standing("kofi", at(1_500)), None);
    let both = standing.plus(QuotaStanding {
        age: None,
        ..standing
    });
    assert_eq!((both.limit, both.held, both.age), (110, 8, standing.age));
}
