use laburnumdeal_model::InstanceId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::{Cluster, sleep};

const VOTERS: u16 = 5;

/// Number of seeds of tests of what happens rarely.
const RARE_SEEDS: u64 = 400;

/// Timings of the daemon's control instances.
const HEARTBEAT_MS: u64 = 150;
const ELECTION_MS: u64 = 1000;
const LEASE_MS: u64 = 800;

/// Longest way of a message in one direction.
const MAX_DELAY_MS: u64 = 20;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(run)
}

/// Starts five voters with the daemon's timings.
async fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(VOTERS, seed);
    cluster.heartbeat_ms = HEARTBEAT_MS;
    cluster.election_ms = ELECTION_MS;
    cluster.lease_ms = LEASE_MS;
    cluster.network.set_faults(MAX_DELAY_MS, 0, 0);
    cluster.start_all().await;
    cluster.wait_for_convergence().await;
    cluster
}

fn id(number: usize) -> InstanceId {
    InstanceId(number as u16)
}

fn others(number: usize) -> impl Iterator<Item = usize> {
    (0..usize::from(VOTERS)).filter(move |other| *other != number)
}

/// Lets messages pass for a short time between a leader that is cut off from a majority and one of
/// them, which may be in its pre-vote. Returns whether two replicas held a lease at once.
async fn reach_a_voter_in_its_pre_vote(seed: u64) -> bool {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let cluster = started(seed).await;
    let leader = cluster.leader().await;
    cluster.network.set_faults(80, 0, 0);
    let cut: Vec<usize> = others(leader).take(3).collect();
    for other in &cut {
        cluster.network.partition(id(leader), id(*other));
    }
    sleep(generator.random_range(ELECTION_MS..2 * ELECTION_MS)).await;
    cluster.network.heal_between(id(leader), id(cut[0]));
    sleep(generator.random_range(100..300)).await;
    cluster.network.partition(id(leader), id(cut[0]));
    for _ in 0..ELECTION_MS {
        sleep(1).await;
        let leases = cluster.running().filter(|r| r.status().has_lease);
        if leases.count() > 1 {
            return true;
        }
    }
    false
}

// Guards against: a voter answers a leader during its own pre-vote, and campaigns all the same while
// the leader relies on the answer for its lease.
#[test]
fn campaign_leader_heard_during_the_pre_vote() {
    let violations = (1..=RARE_SEEDS).filter(|seed| block_on(reach_a_voter_in_its_pre_vote(*seed)));
    assert_eq!(violations.collect::<Vec<u64>>(), [0; 0]);
}
