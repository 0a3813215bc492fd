use std::collections::HashMap;

use laburnumdeal_policy::Outcome;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::{Fault, Violation, World};

const STEPS: usize = 1_000;
const SEEDS: u64 = 1_500;
const FAULT_SEEDS: u64 = 300;

async fn run_seed(
    fault: Fault,
    seed: u64,
    told: &mut HashMap<Outcome, u32>,
) -> Result<(), Violation> {
    let mut world = World::new(fault, ChaCha8Rng::seed_from_u64(seed));
    for _ in 0..STEPS {
        world.step().await?;
    }
    for (outcome, count) in &world.told {
        *told.entry(*outcome).or_default() += count;
    }
    world.check()
}

/// Returns whether a seed broke a promise.
async fn is_found(fault: Fault) -> bool {
    for seed in 0..FAULT_SEEDS {
        if run_seed(fault, seed, &mut HashMap::new()).await.is_err() {
            return true;
        }
    }
    false
}

#[tokio::test(start_paused = true)]
async fn world_without_fault() {
    let mut told = HashMap::new();
    for seed in 0..SEEDS {
        if let Err(violation) = run_seed(Fault::None, seed, &mut told).await {
            panic!("seed {seed}: {violation}");
        }
    }
    println!("told {told:?}");
    assert_eq!(told.len(), 3, "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn world_send_before_acknowledged() {
    assert!(is_found(Fault::SendBeforeAcknowledged).await);
}

#[tokio::test(start_paused = true)]
async fn world_fence_ignores_claim() {
    assert!(is_found(Fault::FenceIgnoresClaim).await);
}

#[tokio::test(start_paused = true)]
async fn world_timeout_keeps_claim() {
    assert!(is_found(Fault::TimeoutKeepsClaim).await);
}

#[tokio::test(start_paused = true)]
async fn world_boot_id_reused() {
    assert!(is_found(Fault::BootIdReused).await);
}

#[tokio::test(start_paused = true)]
async fn world_blank_takes_bare_keys() {
    assert!(is_found(Fault::BlankTakesBareKeys).await);
}
