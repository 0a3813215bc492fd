//! Time until a change is in force on eleven instances.

use std::future::Future;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use laburnumdeal_tests::{Cluster, Operator, Plan, wait_until};

use crate::load::{self, quantile};

const CHANGES: u64 = 20;
const TEST_CHANGES: u64 = 2;

/// Steered blocks.
const BLOCKS: [u32; 4] = [0, 1_000, 5_000, 20_000];
const TEST_BLOCKS: [u32; 1] = [100];

/// Blocks that one command steers.
const BLOCKS_PER_CHANGE: usize = 500;

/// First address of the blocks.
const FIRST: Ipv4Addr = Ipv4Addr::new(11, 0, 0, 0);

/// Bits of an address within a block.
const BLOCK_BITS: u32 = 8;

/// Instances of the plan.
const INSTANCES: f64 = 11.0;

/// Time in which the effects of a change end.
const SETTLES: Duration = Duration::from_millis(300);

/// Time over which the cluster is measured without changes.
const IDLE: Duration = Duration::from_millis(1_000);
const TEST_IDLE: Duration = Duration::from_millis(200);

/// Eleven instances in six zones of three regions, three of them control replicas.
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

/// Sends changes at each number of steered blocks.
pub async fn run(is_bench: bool) {
    let changes = if is_bench { CHANGES } else { TEST_CHANGES };
    let blocks = if is_bench { &BLOCKS[..] } else { &TEST_BLOCKS };
    for blocks in blocks {
        measure(*blocks, changes, if is_bench { IDLE } else { TEST_IDLE }).await;
    }
}

/// Sends changes one after the other and prints when all instances had them in force.
async fn measure(blocks: u32, changes: u64, idle: Duration) {
    let cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let operator = cluster.operator(&leader(&cluster).await);
    steer(&operator, blocks).await;
    tokio::time::sleep(SETTLES).await;
    let idle = Used::measure(&cluster, tokio::time::sleep(idle)).await;
    let mut times_us = Vec::new();
    let mut everywhere = 0;
    let busy = Used::measure(&cluster, async {
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
    let per_change = changes as f64 * INSTANCES;
    println!(
        "  one change, one instance, above idle: {:.0} bytes, {:.0} us of processor time",
        (busy.bytes - idle.bytes / idle.elapsed_s * busy.elapsed_s) / per_change,
        (busy.cpu_us - idle.cpu_us / idle.elapsed_s * busy.elapsed_s) / per_change,
    );
}

/// Steers a number of blocks.
pub async fn steer(operator: &Operator, blocks: u32) {
    let list: Vec<String> = (0..blocks)
        .map(|n| Ipv4Addr::from_bits(FIRST.to_bits() + (n << BLOCK_BITS)))
        .map(|address| format!("{address}/24"))
        .collect();
    for part in list.chunks(BLOCKS_PER_CHANGE) {
        let command = format!("steer {} to smouha", part.join(", "));
        operator.change(&command).await;
    }
}

/// What all instances of a cluster used in a time.
pub struct Used {
    /// Bytes that instances sent each other.
    pub bytes: f64,
    /// Processor time of all instances.
    pub cpu_us: f64,
    /// Length of the time.
    pub elapsed_s: f64,
}

impl Used {
    /// Measures while something else goes on.
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

/// Returns the control replica that leads.
pub async fn leader(cluster: &Cluster) -> String {
    let mut found = String::new();
    let replicas = cluster.topology().instances.iter();
    let replicas: Vec<&str> = replicas
        .filter(|instance| instance.control)
        .map(|instance| instance.name.as_str())
        .collect();
    wait_until("a replica leads", async || {
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
