//! Whether an upstream crashed, from what connections to it show.

use laburnumdeal_policy::steer::{CrashEvidence, CrashVerdict, ProbeConnection};

const REFUSED: CrashEvidence = CrashEvidence {
    connection: ProbeConnection::Refused,
    has_left_list: false,
    reaches_neighbors: true,
    others_reach: Some(false),
};

#[test]
fn verdict_on_upstream_that_nobody_reaches_is_a_crash() {
    assert_eq!(REFUSED.verdict(), CrashVerdict::RefusesConnections);
    let silent = CrashEvidence {
        connection: ProbeConnection::NoReply,
        ..REFUSED
    };
    assert_eq!(silent.verdict(), CrashVerdict::NoReply);
    assert!(REFUSED.verdict().is_crash() && silent.verdict().is_crash());
}

// Guards against: no crash is reported while the control instances are lost.
#[test]
fn verdict_without_the_word_of_others_depends_on_neighbors() {
    let alone = CrashEvidence {
        others_reach: None,
        ..REFUSED
    };
    assert!(alone.verdict().is_crash());
    let partitioned = CrashEvidence {
        reaches_neighbors: false,
        ..alone
    };
    assert_eq!(partitioned.verdict(), CrashVerdict::NeighborsUnreachable);
}

// Guards against: an instance whose links to some upstreams are cut blames its requests.
#[test]
fn verdict_on_upstream_that_others_reach_is_no_crash() {
    for connection in [ProbeConnection::Refused, ProbeConnection::NoReply] {
        for reaches_neighbors in [true, false] {
            let evidence = CrashEvidence {
                connection,
                reaches_neighbors,
                others_reach: Some(true),
                ..REFUSED
            };
            assert_eq!(evidence.verdict(), CrashVerdict::ReachedByOthers);
        }
    }
}

#[test]
fn verdict_on_accepted_connection_depends_on_the_list() {
    let accepted = CrashEvidence {
        connection: ProbeConnection::Accepted,
        ..REFUSED
    };
    assert!(accepted.verdict().is_undecided());
    let gone = CrashEvidence {
        has_left_list: true,
        ..accepted
    };
    assert!(gone.verdict().is_crash());
}
