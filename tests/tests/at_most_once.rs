//! Fault matrix of requests that may not be repeated: each fault at each step of home and mirror.

use laburnumdeal_tests::{RequestRun, request_cells, run_cells};

#[test]
fn matrix_every_step_and_fault_keeps_the_guarantees() {
    let failures = run_cells(request_cells(), RequestRun::execute);
    assert!(
        failures.is_empty(),
        "violated guarantees:\n{}",
        failures.join("\n")
    );
}
