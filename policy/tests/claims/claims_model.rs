use std::collections::HashMap;

use laburnumdeal_policy::Outcome;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulation::{Fault, Simulation, Violation};

const STEPS: usize = 1_000;
const SEEDS: u64 = 1_500;
const FAULT_SEEDS: u64 = 300;

async fn run_seed(
    fault: Fault,
    seed: u64,
    outcomes: &mut HashMap<Outcome, u32>,
) -> Result<(), Violation> {
    let mut simulation = Simulation::new(fault, ChaCha8Rng::seed_from_u64(seed));
    for _ in 0..STEPS {
        simulation.step().await?;
    }
    for (outcome, count) in &simulation.outcomes {
        *outcomes.entry(*outcome).or_default() += count;
    }
    simulation.check()
}

/// Returns whether the simulation detects a violation with one of the seeds.
async fn finds_violation(fault: Fault) -> bool {
    for seed in 0..FAULT_SEEDS {
        if run_seed(fault, seed, &mut HashMap::new()).await.is_err() {
            return true;
        }
    }
    false
}

#[tokio::test(start_paused = true)]
async fn simulation_without_fault() {
    let mut outcomes = HashMap::new();
    for seed in 0..SEEDS {
        if let Err(violation) = run_seed(Fault::None, seed, &mut outcomes).await {
            panic!("seed {seed}: {violation}");
        }
    }
    println!("outcomes {outcomes:?}");
    assert_eq!(outcomes.len(), 3, "{outcomes:?}");
}

#[tokio::test(start_paused = true)]
async fn simulation_send_before_acknowledged() {
    assert!(finds_violation(Fault::SendBeforeAcknowledged).await);
}

#[tokio::test(start_paused = true)]
async fn simulation_fence_ignores_claim() {
    assert!(finds_violation(Fault::FenceIgnoresClaim).await);
}

#[tokio::test(start_paused = true)]
async fn simulation_timeout_keeps_claim() {
    assert!(finds_violation(Fault::TimeoutKeepsClaim).await);
}

#[tokio::test(start_paused = true)]
async fn simulation_boot_id_reused() {
    assert!(finds_violation(Fault::BootIdReused).await);
}

#[tokio::test(start_paused = true)]
async fn simulation_restarted_run_claims_tokenless_keys() {
    assert!(finds_violation(Fault::RestartedRunClaimsTokenlessKeys).await);
}
