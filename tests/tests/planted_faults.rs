//! The checks of the matrices find faults that are planted in the program.

use laburnumdeal_daemon::{FaultPoint, InjectedFault};
use laburnumdeal_tests::{
    Broken, MatrixRun, Place, RequestCell, RequestFault, RequestKind, UpstreamCell, UpstreamFault,
    UpstreamRun,
};

#[tokio::test]
async fn planted_start_without_mirror_is_caught_as_false_not_run() {
    let cell = RequestCell {
        step: FaultPoint::AnswerHead,
        place: Place::Home,
        fault: RequestFault::Kill,
    };
    let broken = MatrixRun::planted(cell, InjectedFault::StartWithoutMirror).await;
    assert!(
        broken
            .iter()
            .any(|b| matches!(b, Broken::FalseNotRun { .. })),
        "{broken:?}"
    );
}

#[tokio::test]
async fn planted_broken_connection_as_not_run_is_caught() {
    let cell = UpstreamCell {
        kind: RequestKind::Keyed,
        fault: UpstreamFault::Crash,
    };
    let broken = UpstreamRun::planted(cell, InjectedFault::BrokenIsNotRun).await;
    let is_found = |b: &Broken| matches!(b, Broken::FalseNotRun { .. } | Broken::RanTwice { .. });
    assert!(broken.iter().any(is_found), "{broken:?}");
}
