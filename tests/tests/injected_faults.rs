//! The checks of the fault matrices detect faults that are injected into the program.

use laburnumdeal_daemon::{FaultPoint, InjectedFault};
use laburnumdeal_tests::{
    KeyRole, RequestCell, RequestFault, RequestKind, RequestRun, UpstreamCell, UpstreamFault,
    UpstreamRun, Violation,
};

#[tokio::test]
async fn fault_start_without_mirror_is_reported_as_false_not_run() {
    let cell = RequestCell {
        step: FaultPoint::AnswerHead,
        role: KeyRole::Home,
        fault: RequestFault::Kill,
    };
    let violations = RequestRun::execute_with_fault(cell, InjectedFault::StartWithoutMirror).await;
    assert!(
        violations
            .iter()
            .any(|violation| matches!(violation, Violation::FalseNotRun { .. })),
        "{violations:?}"
    );
}

#[tokio::test]
async fn fault_broken_connection_as_not_run_is_reported() {
    let cell = UpstreamCell {
        kind: RequestKind::Keyed,
        fault: UpstreamFault::Crash,
    };
    let violations = UpstreamRun::execute_with_fault(cell, InjectedFault::BrokenIsNotRun).await;
    let is_expected = |violation: &Violation| {
        matches!(
            violation,
            Violation::FalseNotRun { .. } | Violation::RanTwice { .. }
        )
    };
    assert!(violations.iter().any(is_expected), "{violations:?}");
}
