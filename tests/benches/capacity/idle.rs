//! Traffic and CPU time of an instance without requests, by number of zones and members.

use std::time::{Duration, Instant};

use laburnumdeal_tests::{Cluster, Plan};

use crate::fit::{fit, predict, worst_error_percent};
use crate::load;

/// Numbers of zones and of instances in each.
const LAYOUTS: [(usize, usize); 10] = [
    (1, 3),
    (1, 6),
    (1, 11),
    (2, 3),
    (2, 6),
    (2, 12),
    (3, 2),
    (4, 3),
    (6, 2),
    (8, 3),
];
const TEST_LAYOUTS: [(usize, usize); 1] = [(2, 2)];

const ZONES: [(&str, &str); 8] = [
    ("nasr", "cairo"),
    ("maadi", "cairo"),
    ("smouha", "alexandria"),
    ("borg", "alexandria"),
    ("tanta", "delta"),
    ("mansoura", "delta"),
    ("suez", "canal"),
    ("ismailia", "canal"),
];

const BENCH_TIME: Duration = Duration::from_secs(3);
const TEST_TIME: Duration = Duration::from_millis(300);

/// Heartbeat rounds per second.
const ROUNDS_PER_S: f64 = 5.0;

/// Members of each other zone that an instance sends a heartbeat in a round.
const PARTNERS_PER_ZONE: usize = 2;

/// Numbers of zones and of instances in each for which the fit is extrapolated.
const TARGET: (usize, usize) = (32, 38);

/// Resources that one instance used per second.
struct Usage {
    bytes_per_s: f64,
    cpu_us_per_s: f64,
    /// Includes the links and upstreams of the cluster, which run in the same process.
    resident_kib: u64,
}

/// Measures all layouts and fits the cost of a heartbeat exchange.
pub async fn run(is_bench: bool) {
    let layouts = if is_bench {
        &LAYOUTS[..]
    } else {
        &TEST_LAYOUTS
    };
    let time = if is_bench { BENCH_TIME } else { TEST_TIME };
    println!("zones members bytes/s cpu_us/s rss_kib   (for one instance, sent and received)");
    let (mut terms, mut bytes, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for (zones, members) in layouts {
        let usage = measure(*zones, *members, time).await;
        println!(
            "{zones:5} {members:7} {:7.0} {:8.0} {:7}",
            usage.bytes_per_s, usage.cpu_us_per_s, usage.resident_kib
        );
        terms.push(term(*zones, *members));
        bytes.push(usage.bytes_per_s);
        cpu.push(usage.cpu_us_per_s);
    }
    if is_bench {
        print_fit("bytes", &terms, &bytes);
        print_fit("cpu_us", &terms, &cpu);
    }
}

/// Returns the terms of the fit: a constant, exchanges per second within the zone, exchanges per
/// second with other zones, and entries that they carry. Entries are digests of other zones in the
/// former and member reports in the latter; both grow with the same product.
fn term(zones: usize, members: usize) -> [f64; 4] {
    let others = (zones - 1) as f64;
    let partners = members.min(PARTNERS_PER_ZONE) as f64;
    let near = 2.0 * ROUNDS_PER_S * (members - 1) as f64;
    let far = 2.0 * ROUNDS_PER_S * partners * others;
    [1.0, near, far, near * others]
}

fn print_fit(what: &str, terms: &[[f64; 4]], values: &[f64]) {
    let slopes = fit(terms, values);
    let [base, near, far, entry] = slopes;
    let error = worst_error_percent(&slopes, terms, values);
    println!(
        "{what}: base {base:.1}/s, near exchange {near:.1}, far exchange {far:.1}, \
         entries {entry:.2}; worst error {error:.1} %"
    );
    let target = predict(&slopes, &term(TARGET.0, TARGET.1));
    println!(
        "{what}: {target:.0}/s at {} zones of {}",
        TARGET.0, TARGET.1
    );
}

async fn measure(zones: usize, members: usize, time: Duration) -> Usage {
    let plan = Plan {
        zones: ZONES[..zones]
            .iter()
            .map(|(zone, region)| (*zone, *region, members))
            .collect(),
        upstreams_per_zone: 1,
        ..Plan::default()
    };
    let cluster = Cluster::spawn(plan).await;
    cluster.wait_members().await;
    let instances = (zones * members) as f64;
    let (bytes, cpu_ns) = (cluster.peer_bytes(), load::instances_cpu_ns());
    let started_at = Instant::now();
    tokio::time::sleep(time).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let bytes = (cluster.peer_bytes() - bytes) as f64;
    let cpu_us = load::instances_cpu_us_since(cpu_ns);
    Usage {
        // Each byte is sent by one instance and received by another.
        bytes_per_s: 2.0 * bytes / elapsed_s / instances,
        cpu_us_per_s: cpu_us / elapsed_s / instances,
        resident_kib: load::resident_kib() / (zones * members) as u64,
    }
}
