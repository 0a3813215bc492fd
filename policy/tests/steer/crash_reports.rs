//! Crashes of upstreams under requests, as instances tell each other of them.

use std::time::Duration;

use laburnumdeal_policy::steer::{CrashReport, CrashReports, RequestFingerprints};
use tokio::time::Instant;

const CRASHING: u64 = 666;

/// Time for which a blocked request that does not come again stays blocked.
const BLOCK_S: u64 = 600;

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// Returns reports of two crashes under one request.
fn blocked(start: Instant) -> CrashReports {
    let mut reports = CrashReports::default();
    reports.add_crash(CRASHING, 1, start);
    reports.add_crash(CRASHING, 2, start);
    reports
}

#[test]
fn is_blocked_after_second_crash() {
    let start = Instant::now();
    let mut reports = CrashReports::default();
    assert!(reports.add_crash(CRASHING, 1, start));
    assert!(!reports.add_crash(CRASHING, 1, start));
    assert!(!reports.is_blocked(CRASHING, start));
    assert!(reports.add_crash(CRASHING, 2, start));
    assert!(reports.is_blocked(CRASHING, start));
    assert!(!reports.is_blocked(CRASHING + 1, start));
}

// Guards against: a request that comes again every minute crashes upstreams for ever.
#[test]
fn is_blocked_while_the_request_keeps_coming() {
    let start = Instant::now();
    let mut reports = blocked(start);
    for second in (60..7_200).step_by(60) {
        let now = after(start, second);
        assert!(reports.is_blocked(CRASHING, now), "at {second} s");
        reports.record_refusal(CRASHING, now);
        reports.merge(&[], now);
    }
}

// Guards against: one crash that two instances or two attempts notice blocks a request.
#[test]
fn add_crash_of_one_upstream_counts_once_until_it_crashes_again() {
    let start = Instant::now();
    let (mut here, mut there) = (CrashReports::default(), CrashReports::default());
    here.add_crash(CRASHING, 1, start);
    there.add_crash(CRASHING, 1, after(start, 2));
    let now = after(start, 3);
    assert!(here.merge(&there.to_vec(now), now).is_empty());
    assert!(!here.is_blocked(CRASHING, now));
    assert!(here.add_crash(CRASHING, 1, after(start, 9)));
    assert!(here.is_blocked(CRASHING, after(start, 9)));
}

#[test]
fn is_blocked_ends_when_the_request_stops_coming() {
    let start = Instant::now();
    let reports = blocked(start);
    assert!(reports.is_blocked(CRASHING, after(start, BLOCK_S - 1)));
    assert!(!reports.is_blocked(CRASHING, after(start, BLOCK_S)));
}

// Guards against: two instances remind each other of a report for ever, until the table is full.
#[test]
fn merge_does_not_revive_expired_reports() {
    let start = Instant::now();
    let (mut here, mut there) = (CrashReports::default(), CrashReports::default());
    here.add_crash(1, 1, start);
    for second in 0..120 {
        let now = after(start, second);
        there.merge(&here.to_vec(now), now);
        here.merge(&there.to_vec(now), now);
        if second > 0 {
            here = CrashReports::default();
            here.merge(&there.to_vec(now), now);
        }
    }
    let end = after(start, 120);
    assert!(here.to_vec(end).is_empty() && there.to_vec(end).is_empty());
}

#[test]
fn merge_keeps_the_newest_age() {
    let start = Instant::now();
    let (mut here, mut there) = (blocked(start), blocked(start));
    there.record_refusal(CRASHING, after(start, 500));
    let now = after(start, 550);
    assert!(here.merge(&there.to_vec(now), now).is_empty());
    assert!(here.is_blocked(CRASHING, after(start, 1_000)));
}

// Guards against: a table full of requests that were beside crashes takes no further reports.
#[test]
fn merge_full_table_keeps_blocked_requests_and_takes_new_ones() {
    let start = Instant::now();
    let mut reports = blocked(start);
    let beside = |number: u64| CrashReport::new(1_000 + number, number);
    let many: Vec<CrashReport> = (0..10_000).map(beside).collect();
    reports.merge(&many, after(start, 1));
    assert!(reports.len() <= 2_048);
    assert!(reports.is_blocked(CRASHING, after(start, 1)));
    reports.add_crash(7, 1, after(start, 2));
    reports.add_crash(7, 2, after(start, 2));
    assert!(reports.is_blocked(7, after(start, 2)));
}

#[test]
fn changed_after_returns_new_reports_only() {
    let start = Instant::now();
    let mut reports = blocked(start);
    let told = reports.revision();
    assert_eq!(reports.changed_after(0, start).len(), 2);
    assert!(reports.changed_after(told, start).is_empty());
    reports.add_crash(CRASHING, 3, after(start, 9));
    let told_third = reports.revision();
    let changed = reports.changed_after(told, after(start, 9));
    assert_eq!((changed.len(), changed[0].upstream), (1, 3));
    for upstream in 4..=8 {
        reports.add_crash(CRASHING, upstream, after(start, 9));
    }
    let told_eighth = reports.revision();
    assert_eq!(reports.changed_after(told_third, after(start, 9)).len(), 5);
    reports.add_crash(CRASHING, 9, after(start, 9));
    reports.add_crash(7, 1, after(start, 9));
    let changed = reports.changed_after(told_eighth, after(start, 9));
    assert_eq!(changed.len(), 1, "eight crashes are enough: {changed:?}");
    assert_eq!(changed[0].fingerprint, 7);
}

// Guards against: an instance where a blocked request does not come forgets it, though it comes at
// others.
#[test]
fn changed_after_returns_renewed_reports_for_relaying() {
    let start = Instant::now();
    let (mut here, mut relay, mut there) = (blocked(start), blocked(start), blocked(start));
    for minute in 1..30 {
        let now = after(start, 60 * minute);
        let told = (here.revision(), relay.revision());
        here.record_refusal(CRASHING, now);
        relay.merge(&here.changed_after(told.0, now), now);
        there.merge(&relay.changed_after(told.1, now), now);
        assert!(there.is_blocked(CRASHING, now), "at minute {minute}");
    }
}

fn fingerprints(caller: u8) -> RequestFingerprints {
    RequestFingerprints::new(&[caller], &[b"shop.example", b"GET", b"/1", b""])
}

// Guards against: a caller whose address changes counts as another one, and its request is never
// blocked.
#[test]
fn add_crash_content_of_several_callers_is_blocked_after_three() {
    let now = Instant::now();
    let mut reports = CrashReports::default();
    for caller in 0..3 {
        let content = fingerprints(caller).by_content;
        assert!(!reports.is_blocked(content, now));
        for fingerprint in fingerprints(caller).both() {
            reports.add_crash(fingerprint, u64::from(caller), now);
        }
    }
    assert!(reports.is_blocked(fingerprints(9).by_content, now));
    assert!(!reports.is_blocked(fingerprints(0).by_caller, now));
}

#[test]
fn add_crash_of_one_upstream_under_several_callers_counts_once() {
    let now = Instant::now();
    let mut reports = CrashReports::default();
    for caller in 0..9 {
        reports.add_crash(fingerprints(caller).by_content, 1, now);
    }
    assert!(!reports.is_blocked(fingerprints(0).by_content, now));
}

// Guards against: a request that ran beside a crashing one stays blocked at other instances, or is
// blocked again by reports that come late.
#[test]
fn merge_completed_run_clears_the_crashes_before_it() {
    let start = Instant::now();
    let (mut here, mut there) = (blocked(start), blocked(start));
    let late = there.to_vec(start);
    assert!(here.clear(CRASHING, after(start, 1)));
    assert!(!here.is_blocked(CRASHING, after(start, 1)));
    let now = after(start, 2);
    assert_eq!(there.merge(&here.to_vec(now), now), [CRASHING]);
    assert!(!there.is_blocked(CRASHING, now));
    assert!(there.merge(&here.to_vec(now), now).is_empty());
    let late = late.iter().map(|report| CrashReport {
        age_ms: 3_000,
        ..*report
    });
    let late: Vec<CrashReport> = late.collect();
    assert!(there.merge(&late, after(start, 3)).is_empty());
    for upstream in [3, 4] {
        assert!(there.add_crash(CRASHING, upstream, after(start, 3)));
    }
    assert!(there.is_blocked(CRASHING, after(start, 3)));
}

#[test]
fn clear_request_without_crashes_changes_nothing() {
    let now = Instant::now();
    let mut reports = CrashReports::default();
    assert!(!reports.clear(CRASHING, now));
    assert!(reports.is_empty());
    assert_eq!(reports.revision(), 0);
}

// Guards against: requests that run beside a crashing one on several upstreams, and that none has
// completed yet, are refused for minutes.
#[test]
fn is_blocked_request_beside_one_with_more_crashes_is_not() {
    let start = Instant::now();
    let mut reports = CrashReports::default();
    let beside = CRASHING + 1;
    for upstream in 1..=4 {
        reports.add_crash(CRASHING, upstream, start);
    }
    for upstream in 1..=3 {
        reports.add_crash(beside, upstream, start);
    }
    assert!(reports.is_blocked(CRASHING, start));
    assert!(!reports.is_blocked(beside, start));
    reports.add_crash(beside, 11, start);
    reports.add_crash(CRASHING, 5, start);
    assert!(!reports.is_blocked(beside, start), "one of its own");
    reports.add_crash(beside, 12, start);
    assert!(reports.is_blocked(beside, start), "two of its own");
}

// Guards against: of two requests that crash the same upstreams, neither is blocked.
#[test]
fn is_blocked_requests_with_the_same_crashes_are() {
    let start = Instant::now();
    let mut reports = blocked(start);
    for upstream in [1, 2] {
        reports.add_crash(CRASHING + 1, upstream, start);
    }
    assert!(reports.is_blocked(CRASHING, start));
    assert!(reports.is_blocked(CRASHING + 1, start));
}

/// Instances that tell each other of crashes, all to all, with messages that are under way for a few
/// rounds. Each of them completes a run of the request in each round.
struct Exchange {
    instances: Vec<CrashReports>,
    told: Vec<u64>,
    /// Round of arrival, receiver and reports of the messages under way.
    under_way: Vec<(u64, usize, Vec<CrashReport>)>,
}

impl Exchange {
    /// Plays one round; returns how many reports were new.
    fn play(&mut self, round: u64, delay_rounds: u64, now: Instant) -> usize {
        let arrived: Vec<_> = self
            .under_way
            .extract_if(.., |(at, _, _)| *at <= round)
            .collect();
        let merged = arrived
            .iter()
            .map(|(_, receiver, reports)| self.instances[*receiver].merge(reports, now).len());
        let new = merged.sum();
        for sender in 0..self.instances.len() {
            let reports = self.instances[sender].changed_after(self.told[sender], now);
            self.told[sender] = self.instances[sender].revision();
            for receiver in (0..self.instances.len()).filter(|receiver| *receiver != sender) {
                let message = (round + delay_rounds, receiver, reports.clone());
                self.under_way.push(message);
            }
            self.instances[sender].clear(CRASHING, now);
        }
        new
    }
}

// Guards against: reports of crashes that a request shared by chance are told for ever. Each message
// makes the crash look later by its delay, and so later than the run that cleared it.
#[test]
fn merge_crashes_of_a_request_that_runs_everywhere_are_told_a_few_times() {
    for delay_rounds in [1, 2, 3, 7] {
        let start = Instant::now();
        let mut exchange = Exchange {
            instances: vec![CrashReports::default(); 6],
            told: vec![0; 6],
            under_way: Vec::new(),
        };
        exchange.instances[0].add_crash(CRASHING, 1, start);
        exchange.instances[1].add_crash(CRASHING, 2, start);
        let rounds = (0..400).map(|round| {
            let now = start + Duration::from_millis(50 * round);
            exchange.play(round, delay_rounds, now)
        });
        let new: Vec<usize> = rounds.collect();
        let late: usize = new[50..].iter().sum();
        assert_eq!(late, 0, "{delay_rounds} rounds under way: {new:?}");
    }
}

#[test]
fn merge_cleared_crash_that_is_told_late_stays_cleared() {
    let start = Instant::now();
    let (mut here, mut there) = (CrashReports::default(), CrashReports::default());
    for upstream in [1, 2] {
        here.add_crash(CRASHING, upstream, start);
    }
    there.merge(&here.to_vec(start), start);
    let told = there.to_vec(start);
    assert!(here.clear(CRASHING, start + Duration::from_millis(100)));
    here.merge(&told, start + Duration::from_secs(2));
    assert!(!here.is_blocked(CRASHING, start + Duration::from_secs(2)));
    // The same upstreams crash again under it, much later.
    let later = after(start, 30);
    here.merge(
        &[CrashReport::new(CRASHING, 1), CrashReport::new(CRASHING, 2)],
        later,
    );
    assert!(here.is_blocked(CRASHING, later));
}
