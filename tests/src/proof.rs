//! Generator of `docs/PROOF.md`, which lists the tests of each guarantee and fault, and the gaps.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use crate::request_matrix::{KeyRole, request_cells};
use crate::upstream_matrix::{RequestKind, upstream_cells};

/// Guarantee to users, with the tests that cover it and the cases that they leave out.
struct Guarantee {
    name: &'static str,
    tests: &'static [&'static str],
    unproven: &'static [&'static str],
}

const GUARANTEES: [Guarantee; 8] = [
    Guarantee {
        name: "A shift never exceeds its cap",
        tests: &[
            "policy/tests/shares_random.rs",
            "policy/tests/router_failover.rs",
        ],
        unproven: &[
            "over real daemons, shift caps under cuts and restarts",
            "unsteered callers of a dead zone are not counted as shifted",
        ],
    },
    Guarantee {
        name: "No region is overloaded by a decision of the system",
        tests: &[
            "policy/tests/shares_random.rs",
            "policy/tests/choice_random.rs",
            "tests/tests/zones.rs: region_lost_is_served_by_the_other_within_its_cap",
            "tests/tests/zones.rs: overload_is_refused_at_once_and_slots_are_never_exceeded",
        ],
        unproven: &[
            "bytes on links over real daemons; an answer without a length spends only its head",
            "two instances of a zone that cannot reach each other both own its upstreams",
        ],
    },
    Guarantee {
        name: "The whole answer to its own caller",
        tests: &[
            "tests/tests/at_most_once.rs",
            "tests/tests/upstream_faults.rs",
            "tests/tests/planned_stop.rs",
        ],
        unproven: &[
            "an answer longer than 64 KiB that breaks off shows as a broken connection",
            "answers out of order on one upstream connection (an upstream that breaks HTTP)",
        ],
    },
    Guarantee {
        name: "\"Not run\" is true",
        tests: &[
            "policy/tests/claims/",
            "tests/tests/at_most_once.rs",
            "tests/tests/upstream_faults.rs",
            "tests/tests/planned_stop.rs",
        ],
        unproven: &["two faults at once, apart from both instances of a pair restarting"],
    },
    Guarantee {
        name: "What may not be repeated runs at most once",
        tests: &[
            "policy/tests/claims/",
            "tests/tests/at_most_once.rs",
            "tests/tests/planned_stop.rs: stop_killed_at_each_step_keeps_at_most_once",
        ],
        unproven: &[
            "keys without a token over real daemons",
            "a suspended machine, whose monotonic clock stands still",
        ],
    },
    Guarantee {
        name: "A leaving upstream gets no new work after a few seconds",
        tests: &[
            "tests/tests/upstream_faults.rs",
            "tests/tests/request_path.rs: path_drained_upstream_gets_no_new_work_anywhere",
        ],
        unproven: &["the platform's word alone, over real daemons"],
    },
    Guarantee {
        name: "A planned stop cuts nothing off",
        tests: &["tests/tests/planned_stop.rs", "the demo, with SIGTERM"],
        unproven: &[
            "operators' requests in flight are cut off",
            "a second fault during the stop, apart from its own death",
        ],
    },
    Guarantee {
        name: "Accepted configuration is in force within seconds and never reverts",
        tests: &["control/tests/", "tests/tests/configuration.rs"],
        unproven: &[
            "more than 24 instances",
            "old and new versions of the program together",
            "damage to the last synced record of the log looks like a torn tail",
        ],
    },
];

/// Required faults and steps that no test covers with real daemons.
const UNTESTED: [&str; 8] = [
    "SIGKILL and SIGSTOP of real processes (instances are killed and frozen in one process; the demo sends SIGTERM)",
    "steps 'connect', 'send headers', 'send body' of a request, apart from faults of the upstream's link",
    "one-way cuts, apart from tests/tests/zones.rs",
    "disks that are slow, full or torn under a daemon (control/tests has them)",
    "a platform list that is wrong",
    "a region lost at twice the load the rest can take, over real daemons (policy/tests/router_failover.rs has it)",
    "planted faults over real daemons for promises other than 'not run' and at most once (tests/tests/injected_faults.rs)",
    "latency, headroom and drain time under faults at both users' sizes (docs/MEASURES.md says what was measured)",
];

/// Returns the text of docs/PROOF.md.
pub fn proof_page() -> String {
    let mut page = String::from(
        "# What is proved\n\nMade by `cargo run --package laburnumdeal-tests --example proof`; a test compares it.\n",
    );
    write_guarantees(&mut page);
    write_requests(&mut page);
    write_upstreams(&mut page);
    page.push_str("\n## Not run\n\n");
    for line in UNTESTED {
        let _ = writeln!(page, "- {line}");
    }
    page
}

fn write_guarantees(page: &mut String) {
    page.push_str("\n## Promises\n");
    for guarantee in &GUARANTEES {
        let _ = writeln!(page, "\n### {}\n", guarantee.name);
        for test in guarantee.tests {
            let _ = writeln!(page, "- shown by `{test}`");
        }
        for unproven in guarantee.unproven {
            let _ = writeln!(page, "- not proved: {unproven}");
        }
    }
}

fn write_requests(page: &mut String) {
    let cells = request_cells();
    let faults: BTreeSet<_> = cells.iter().map(|cell| cell.fault).collect();
    let mut steps: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for cell in &cells {
        steps
            .entry((cell.role, cell.step))
            .or_default()
            .insert(cell.fault);
    }
    let _ = writeln!(
        page,
        "\n## Requests that may not be repeated\n\n{} cells, run by `tests/tests/at_most_once.rs`. Each resends the key through\nthree instances and checks: at most one run, \"not run\" only without a run, the right answer,\na final outcome in time, new requests served again.\n",
        cells.len()
    );
    write_header(page, "step", faults.iter().map(ToString::to_string));
    for ((role, step), run) in &steps {
        let name = match role {
            KeyRole::Home => format!("{step} (home)"),
            KeyRole::Mirror => format!("{step} (mirror)"),
        };
        write_row(page, &name, faults.iter().map(|fault| run.contains(fault)));
    }
}

fn write_upstreams(page: &mut String) {
    let cells = upstream_cells();
    let kinds = [RequestKind::Read, RequestKind::Keyed, RequestKind::Keyless];
    let faults: BTreeSet<_> = cells.iter().map(|cell| cell.fault).collect();
    let _ = writeln!(
        page,
        "\n## Faults of one upstream\n\n{} cells, run by `tests/tests/upstream_faults.rs`. \"Answered\" means that the run also\nrequires an answer to every request while the fault lasts.\n",
        cells.len()
    );
    write_header(page, "upstream", kinds.iter().map(ToString::to_string));
    for fault in faults {
        let cell = |kind: &RequestKind| {
            let found = cells
                .iter()
                .find(|cell| cell.fault == fault && cell.kind == *kind);
            match found.map(|cell| cell.must_answer()) {
                Some(true) => "run, answered",
                Some(false) => "run",
                None => "not run",
            }
        };
        let row: Vec<&str> = kinds.iter().map(cell).collect();
        let _ = writeln!(page, "| {fault} | {} |", row.join(" | "));
    }
}

fn write_header(page: &mut String, first: &str, columns: impl Iterator<Item = String>) {
    let columns: Vec<String> = columns.collect();
    let _ = writeln!(page, "| {first} | {} |", columns.join(" | "));
    let _ = writeln!(page, "|---|{}", "---|".repeat(columns.len()));
}

fn write_row(page: &mut String, name: &str, cells: impl Iterator<Item = bool>) {
    let cells: Vec<&str> = cells
        .map(|run| if run { "run" } else { "not run" })
        .collect();
    let _ = writeln!(page, "| {name} | {} |", cells.join(" | "));
}
