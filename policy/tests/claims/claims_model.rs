use std::collections::HashMap;

use laburnumdeal_policy::Outcome;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::{Fault, Violation, World};

const STEPS: usize = 400;
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

/// Returns how many seeds broke a promise.
async fn count_violations(fault: Fault) -> usize {
    let mut count = 0;
    for seed in 0..FAULT_SEEDS {
        count += usize::from(run_seed(fault, seed, &mut HashMap::new()).await.is_err());
    }
    count
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
    assert!(count_violations(Fault::SendBeforeAcknowledged).await > 0);
}

#[tokio::test(start_paused = true)]
async fn world_fence_ignores_claim() {
    assert!(count_violations(Fault::FenceIgnoresClaim).await > 0);
}

#[tokio::test(start_paused = true)]
async fn world_timeout_keeps_claim() {
    assert!(count_violations(Fault::TimeoutKeepsClaim).await > 0);
}

#[tokio::test(start_paused = true)]
async fn world_boot_id_reused() {
    assert!(count_violations(Fault::BootIdReused).await > 0);
}

#[tokio::test(start_paused = true)]
async fn world_blank_takes_bare_keys() {
    assert!(count_violations(Fault::BlankTakesBareKeys).await > 0);
}
