//! The matrix of requests that may not be repeated: every step, every fault, on home and mirror.

use laburnumdeal_tests::{RequestRun, request_cells, run_cells};

#[test]
fn matrix_every_step_and_fault_keeps_the_promises() {
    let failures = run_cells(request_cells(), RequestRun::execute);
    assert!(
        failures.is_empty(),
        "broken promises:\n{}",
        failures.join("\n")
    );
}
