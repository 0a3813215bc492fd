//! Time and bytes until an instance without a disk has the configuration again after a restart.

use std::time::{Duration, Instant};

use laburnumdeal_tests::Cluster;

use crate::change::{Used, leader, plan, steer};

/// Steered blocks.
const BLOCKS: [u32; 4] = [0, 1_000, 5_000, 20_000];
const TEST_BLOCKS: [u32; 1] = [100];

/// Instance that restarts; it is no control replica.
const INSTANCE: &str = "nasr-2";

/// Time in which messages that are on their way arrive.
const SETTLES: Duration = Duration::from_millis(1_000);
const TEST_SETTLES: Duration = Duration::from_millis(100);

/// Restarts an instance at each number of steered blocks.
pub async fn run(is_bench: bool) {
    let blocks = if is_bench { &BLOCKS[..] } else { &TEST_BLOCKS };
    let settles = if is_bench { SETTLES } else { TEST_SETTLES };
    for blocks in blocks {
        measure(*blocks, settles).await;
    }
}

async fn measure(blocks: u32, settles: Duration) {
    let mut cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let operator = cluster.operator(&leader(&cluster).await);
    steer(&operator, blocks).await;
    cluster.kill(INSTANCE).await;
    tokio::time::sleep(settles).await;
    let idle = Used::measure(&cluster, tokio::time::sleep(settles)).await;
    let started_at = Instant::now();
    let before = cluster.peer_bytes();
    cluster.start(INSTANCE).await.expect("the instance starts");
    cluster.wait_ready(INSTANCE).await;
    let ready = started_at.elapsed();
    tokio::time::sleep(settles).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let bytes = (cluster.peer_bytes() - before) as f64;
    println!(
        "{blocks} blocks: ready after {} ms, {:.0} bytes above those of the ten that stayed",
        ready.as_millis(),
        bytes - idle.bytes / idle.elapsed_s * elapsed_s
    );
}
