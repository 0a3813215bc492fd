//! Time until a change is in force on all of eleven instances, and its traffic and CPU time.

use std::future::Future;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use laburnumdeal_tests::{Cluster, Operator, Plan, wait_until};

use crate::load::{self, quantile};

const CHANGES: u64 = 20;
const TEST_CHANGES: u64 = 2;

/// Numbers of steered address blocks.
const BLOCK_COUNTS: [u32; 4] = [0, 1_000, 5_000, 20_000];
const TEST_BLOCK_COUNTS: [u32; 1] = [100];

/// Blocks in each steering command.
const BLOCKS_PER_CHANGE: usize = 500;

/// First address of the first block.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(11, 0, 0, 0);

/// Number of host bits of a block.
const BLOCK_BITS: u32 = 8;

/// Number of instances in [`plan`].
const INSTANCE_COUNT: f64 = 11.0;

/// Wait after a change, so that its messages do not count as idle traffic.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Length of the measurement without changes.
const IDLE_TIME: Duration = Duration::from_millis(1_000);
const TEST_IDLE_TIME: Duration = Duration::from_millis(200);

/// Returns a plan of eleven instances, three of them control replicas, in six zones of three
/// regions.
pub fn plan() -> Plan {
    Plan {
        zones: vec![
            ("nasr", "cairo", 2),
            ("maadi", "cairo", 2),
            ("smouha", "alexandria", 2),
            ("borg", "alexandria", 2),
            ("tanta", "delta", 2),
            ("mansoura", "delta", 1),
        ],
        control: 3,
        upstreams_per_zone: 1,
        ..Plan::default()
    }
}

/// Measures changes at each number of steered blocks.
pub async fn run(is_bench: bool) {
    let changes = if is_bench { CHANGES } else { TEST_CHANGES };
    let blocks = if is_bench {
        &BLOCK_COUNTS[..]
    } else {
        &TEST_BLOCK_COUNTS
    };
    for blocks in blocks {
        measure(
            *blocks,
            changes,
            if is_bench { IDLE_TIME } else { TEST_IDLE_TIME },
        )
        .await;
    }
}

/// Sends changes one after the other and prints their latency, traffic and CPU time.
async fn measure(blocks: u32, changes: u64, idle: Duration) {
    let cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let operator = cluster.operator(&leader(&cluster).await);
    steer(&operator, blocks).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let idle = Usage::measure(&cluster, tokio::time::sleep(idle)).await;
    let mut times_us = Vec::new();
    let mut everywhere = 0;
    let busy = Usage::measure(&cluster, async {
        for number in 0..changes {
            let sent_at = Instant::now();
            let command = format!("cap shift catalog at {} per s", number + 10);
            let (_, in_force) = operator.change(&command).await;
            times_us.push(sent_at.elapsed().as_micros() as u64);
            everywhere += u64::from(in_force.len() == cluster.topology().instances.len());
        }
    });
    let busy = busy.await;
    println!(
        "{blocks} blocks, {changes} changes, {everywhere} in force on all 11 when answered: \
         median {} us, longest {} us",
        quantile(&mut times_us, 500),
        quantile(&mut times_us, 1_000)
    );
    let per_change = changes as f64 * INSTANCE_COUNT;
    println!(
        "  one change, one instance, above idle: {:.0} bytes, {:.0} us of processor time",
        (busy.bytes - idle.bytes / idle.elapsed_s * busy.elapsed_s) / per_change,
        (busy.cpu_us - idle.cpu_us / idle.elapsed_s * busy.elapsed_s) / per_change,
    );
}

/// Steers a number of blocks.
pub async fn steer(operator: &Operator, blocks: u32) {
    let list: Vec<String> = (0..blocks)
        .map(|n| Ipv4Addr::from_bits(FIRST_ADDRESS.to_bits() + (n << BLOCK_BITS)))
        .map(|address| format!("{address}/24"))
        .collect();
    for part in list.chunks(BLOCKS_PER_CHANGE) {
        let command = format!("steer {} to smouha", part.join(", "));
        operator.change(&command).await;
    }
}

/// Resources that all instances of a cluster used during a measurement.
pub struct Usage {
    /// Bytes that instances sent each other.
    pub bytes: f64,
    /// CPU time of all instances.
    pub cpu_us: f64,
    /// Length of the measurement.
    pub elapsed_s: f64,
}

impl Usage {
    /// Measures until `during` is done.
    pub async fn measure(cluster: &Cluster, during: impl Future<Output = ()>) -> Self {
        let (bytes, cpu_ns) = (cluster.peer_bytes(), load::instances_cpu_ns());
        let started_at = Instant::now();
        during.await;
        Self {
            bytes: (cluster.peer_bytes() - bytes) as f64,
            cpu_us: load::instances_cpu_us_since(cpu_ns),
            elapsed_s: started_at.elapsed().as_secs_f64(),
        }
    }
}

/// Waits for a leader among the control replicas and returns its name.
pub async fn leader(cluster: &Cluster) -> String {
    let mut found = String::new();
    let replicas = cluster.topology().instances.iter();
    let replicas: Vec<&str> = replicas
        .filter(|instance| instance.control)
        .map(|instance| instance.name.as_str())
        .collect();
    wait_until("a replica is the leader", async || {
        for name in &replicas {
            let rows = cluster.operator(name).rows("show status").await;
            if rows
                .iter()
                .any(|row| row[0] == "replica role" && row[1] == "leader")
            {
                found = (*name).to_owned();
                return true;
            }
        }
        false
    })
    .await;
    found
}
