//! Time and traffic until a restarted instance without a disk has the configuration again.

use std::time::{Duration, Instant};

use laburnumdeal_tests::Cluster;

use crate::change::{Usage, leader, plan, steer};

/// Numbers of steered address blocks.
const BLOCK_COUNTS: [u32; 4] = [0, 1_000, 5_000, 20_000];
const TEST_BLOCK_COUNTS: [u32; 1] = [100];

/// Instance that restarts; not a control replica.
const INSTANCE: &str = "nasr-2";

/// Wait until messages in transit have arrived; also the length of the idle measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
const TEST_SETTLE_TIME: Duration = Duration::from_millis(100);

/// Restarts an instance at each number of steered blocks.
pub async fn run(is_bench: bool) {
    let blocks = if is_bench {
        &BLOCK_COUNTS[..]
    } else {
        &TEST_BLOCK_COUNTS
    };
    let settle_time = if is_bench {
        SETTLE_TIME
    } else {
        TEST_SETTLE_TIME
    };
    for blocks in blocks {
        measure(*blocks, settle_time).await;
    }
}

async fn measure(blocks: u32, settle_time: Duration) {
    let mut cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let operator = cluster.operator(&leader(&cluster).await);
    steer(&operator, blocks).await;
    cluster.kill(INSTANCE).await;
    tokio::time::sleep(settle_time).await;
    let idle = Usage::measure(&cluster, tokio::time::sleep(settle_time)).await;
    let started_at = Instant::now();
    let before = cluster.peer_bytes();
    cluster.start(INSTANCE).await.expect("the instance starts");
    cluster.wait_ready(INSTANCE).await;
    let ready = started_at.elapsed();
    tokio::time::sleep(settle_time).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let bytes = (cluster.peer_bytes() - before) as f64;
    println!(
        "{blocks} blocks: ready after {} ms, {:.0} bytes above those of the ten that stayed",
        ready.as_millis(),
        bytes - idle.bytes / idle.elapsed_s * elapsed_s
    );
}
