//! Measurements for docs/CAPACITY.md and docs/MEASURES.md, printed as tables.
//!
//! `cargo bench -p laburnumdeal-tests --bench capacity -- PART` runs one part: `idle`,
//! `configuration`, `change`, `restart`, `latency` or `drain`. Without `--bench`, as under
//! `cargo test`, all parts run at once at their smallest size.

mod change;
mod configuration;
mod drain;
mod fit;
mod idle;
mod latency;
mod load;
mod restart;

use std::future::Future;

/// Parts that arguments can select; other arguments come from the test runner.
const PARTS: [&str; 6] = [
    "configuration",
    "idle",
    "change",
    "restart",
    "latency",
    "drain",
];

/// Runs the parts that the arguments select, or all of them.
#[tokio::main]
async fn main() {
    // `cargo bench` passes `--bench`; `cargo test` does not.
    let is_bench = std::env::args().any(|argument| argument == "--bench");
    let configuration = run("configuration", configuration::run(is_bench));
    let idle = run("idle", idle::run(is_bench));
    let change = run("change", change::run(is_bench));
    let restart = run("restart", restart::run(is_bench));
    let latency = run("latency", latency::run(is_bench));
    let drain = run("drain", drain::run(is_bench));
    if is_bench {
        configuration.await;
        idle.await;
        change.await;
        restart.await;
        latency.await;
        drain.await;
    } else {
        // A test does not use the figures, so the parts may run at the same time.
        tokio::join!(configuration, idle, change, restart, latency, drain);
    }
}

async fn run(part: &str, measure: impl Future<Output = ()>) {
    let named: Vec<String> = std::env::args()
        .filter(|argument| PARTS.contains(&argument.as_str()))
        .collect();
    if !named.is_empty() && !named.iter().any(|name| name == part) {
        return;
    }
    println!("{part}: load {} before", load::load_average());
    measure.await;
    println!("{part}: load {} after\n", load::load_average());
}
