//! Time until a drained upstream gets no more requests, and time of a planned stop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use laburnumdeal_tests::{Caller, CallerRequest, Cluster, Plan};
use tokio::task::JoinSet;

use crate::load::quantile;

const ROUNDS: usize = 5;
const TEST_ROUNDS: usize = 1;

/// Number of callers, each of which sends one request after the other.
const CALLERS: usize = 6;

/// Time that an upstream takes for a request.
const LATENCY: Duration = Duration::from_millis(20);

/// Time under load before and after a drain, and before a planned stop.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// Upstream that is drained.
const UPSTREAM: &str = "catalog-nasr-1";

/// Prints the median and longest time of drains and planned stops.
pub async fn run(is_bench: bool) {
    let rounds = if is_bench { ROUNDS } else { TEST_ROUNDS };
    let (mut drains_us, mut stops_us) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let mut cluster = Cluster::spawn(Plan::default()).await;
        cluster.wait_members().await;
        for upstream in cluster.upstreams() {
            upstream.set(|behavior| behavior.latency = LATENCY);
        }
        drains_us.push(drain(&cluster).await.as_micros() as u64);
        stops_us.push(stop(&mut cluster).await.as_micros() as u64);
    }
    print("drain to last new request", &mut drains_us);
    print(
        "planned stop under load, look-ups valid for 300 ms",
        &mut stops_us,
    );
}

fn print(what: &str, times_us: &mut [u64]) {
    println!(
        "{what}: median {} us, longest {} us, {} runs",
        quantile(times_us, 500),
        quantile(times_us, 1_000),
        times_us.len()
    );
}

/// Returns the time from sending the drain to the last new request at the upstream.
async fn drain(cluster: &Cluster) -> Duration {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = callers(cluster, &stop);
    tokio::time::sleep(LOAD_TIME).await;
    let sent_at = tokio::time::Instant::now();
    let drain = format!("drain upstream {UPSTREAM}");
    cluster.operator("nasr-1").change(&drain).await;
    tokio::time::sleep(LOAD_TIME).await;
    stop.store(true, Ordering::Relaxed);
    join(callers).await;
    let runs = cluster.upstream(UPSTREAM).runs();
    let last = runs.iter().map(|run| run.at).max();
    last.expect("the upstream got requests")
        .saturating_duration_since(sent_at)
}

/// Returns the time that a planned stop takes while callers keep sending to the instance.
async fn stop(cluster: &mut Cluster) -> Duration {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = callers(cluster, &stop);
    tokio::time::sleep(LOAD_TIME).await;
    let host = cluster.take_host("nasr-1");
    let started_at = Instant::now();
    let stopping = tokio::spawn(host.stop());
    // Real callers change the instance within the time to live of their look-up answer.
    tokio::time::sleep(Duration::from_millis(200)).await;
    stop.store(true, Ordering::Relaxed);
    join(callers).await;
    stopping.await.expect("the stop does not panic");
    started_at.elapsed()
}

fn callers(cluster: &Cluster, stop: &Arc<AtomicBool>) -> JoinSet<()> {
    let to = cluster.instance("nasr-1").caller_address;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let stop = stop.clone();
        callers.spawn(async move {
            let request = CallerRequest::get("catalog", &format!("/units/{number}"));
            while !stop.load(Ordering::Relaxed) {
                let response = Caller.send(to, &request).await.expect("an answer");
                assert_eq!(response.outcome(), "answer", "{}", response.text());
            }
        });
    }
    callers
}

/// Waits for the callers to end and fails if one got anything but answers.
async fn join(mut callers: JoinSet<()>) {
    while let Some(ended) = callers.join_next().await {
        ended.expect("every request is answered");
    }
}
