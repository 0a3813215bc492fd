use crate::quota_run::{Link, QuotaRun};
use laburnumdeal_policy::customers::QuotaLimit;

/// 65 requests in a window.
const LIMIT: QuotaLimit = QuotaLimit {
    milli_per_s: 10_000,
    burst: 10,
};

/// Returns a run of three instances that the same number of callers use, within the limit.
fn steady() -> QuotaRun {
    let mut run = QuotaRun::new(3, 3, LIMIT);
    run.set_rates(|_| 3.0);
    run.run(15_000);
    let outcomes = run.take_outcomes();
    assert_eq!(
        (outcomes.over_limit, outcomes.unknown),
        (0, 0),
        "{outcomes:?}"
    );
    run
}

fn cut(link: Link) {
    let mut run = steady();
    run.instances[0].link = link;
    run.instances[0].rate_per_s = 1.5;
    run.run(3_400);
    assert_eq!(run.instances[0].outcomes.unknown, 0, "the share lasts");
    run.take_outcomes();
    run.run(6_000);
    let cut_off = run.instances[0].outcomes;
    assert_eq!(cut_off.over_limit, 0, "{cut_off:?}");
    assert!(cut_off.unknown * 5 > cut_off.arrived * 3, "{cut_off:?}");
    run.instances[0].link = Link::default();
    run.run(1_500);
    run.take_outcomes();
    run.run(5_000);
    let healed = run.take_outcomes();
    assert_eq!(healed.unknown, 0, "{healed:?}");
    assert_eq!(run.checker.excess, 0);
}

// Guards against: an instance that cannot ask goes on with a share that others get, refuses before
// the share ends, or stays without after the cut.
#[test]
fn decide_while_asks_are_lost_ends_with_the_share() {
    cut(Link {
        loses_asks: true,
        loses_replies: false,
    });
}

// Guards against: the same on a link that is cut one way, where the bank hears the instance and
// renews a share of which that does not learn.
#[test]
fn decide_while_replies_are_lost_ends_with_the_share() {
    cut(Link {
        loses_asks: false,
        loses_replies: true,
    });
}

// Guards against: the part of the quota that a cut-off instance held is lost for longer than its
// share and one window.
#[test]
fn decide_of_the_others_gets_the_whole_quota_after_the_share_and_a_window() {
    let mut run = steady();
    run.instances[0].link.loses_asks = true;
    run.set_rates(|number| if number == 0 { 0.0 } else { 20.0 });
    run.run(9_500 + 5_000);
    run.take_outcomes();
    run.run(20_000);
    let outcomes = run.take_outcomes();
    println!("{outcomes:?}");
    assert!(outcomes.admitted >= 4 * 60, "{outcomes:?}");
    assert_eq!(run.checker.excess, 0);
}

// Guards against: a change of the leader stops customers that stay within what they use, or gives a
// share twice.
#[test]
fn decide_after_a_change_of_the_leader_goes_on() {
    let mut run = steady();
    run.leader = None;
    run.run(2_000);
    run.elect(1, false);
    run.run(15_000);
    let outcomes = run.take_outcomes();
    println!("{outcomes:?}");
    assert!(
        (outcomes.over_limit + outcomes.unknown) * 50 < outcomes.arrived,
        "{outcomes:?}"
    );
    assert_eq!(run.checker.excess, 0);
}

// Guards against: a suspended leader goes on to give shares, or the instances that wait for it hold
// requests longer than a quarter of a second.
#[test]
fn decide_while_the_leader_is_suspended_refuses_in_time() {
    let mut run = steady();
    run.bank_suspended_until_ms = run.now_ms + 8_000;
    run.run(5_000);
    run.take_outcomes();
    run.run(2_500);
    let outcomes = run.take_outcomes();
    assert_eq!(outcomes.admitted, 0, "{outcomes:?}");
    assert!(outcomes.unknown + 6 >= outcomes.arrived, "{outcomes:?}");
    assert_eq!(run.checker.excess, 0);
}
