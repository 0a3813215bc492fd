//! Fault matrix of upstreams: each fault of one upstream, with reads and writes.

use laburnumdeal_tests::{UpstreamRun, run_cells, upstream_cells};

#[test]
fn matrix_every_upstream_fault_keeps_the_guarantees() {
    let failures = run_cells(upstream_cells(), UpstreamRun::execute);
    assert!(
        failures.is_empty(),
        "violated guarantees:\n{}",
        failures.join("\n")
    );
}
