//! Random runs with fixed seeds. Upstreams never run more requests than they have slots, no request
//! is refused while a slot is free, and no slot is lost.

mod choice_setup;

use std::time::Duration;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{
    Admission, AttemptOutcome, NoSlotReason, OwnedUpstream, Pool, PoolCore, PoolSettings,
    SlotGrant, Ticket, UpstreamState,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

const UPSTREAMS: u32 = 5;
const STEPS: u32 = 3_000;

struct Run {
    rng: ChaCha8Rng,
    core: PoolCore,
    upstreams: Vec<OwnedUpstream>,
    running: Vec<SlotGrant>,
    queued: Vec<Ticket>,
    now: Instant,
}

impl Run {
    fn new(seed: u64) -> Self {
        let settings = PoolSettings {
            seed,
            ..PoolSettings::default()
        };
        let mut run = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            core: PoolCore::new(settings),
            upstreams: several(UPSTREAMS, 3),
            running: Vec::new(),
            queued: Vec::new(),
            now: Instant::now(),
        };
        run.core.configure(run.now, &run.upstreams);
        run
    }

    fn upstream(&mut self) -> UpstreamId {
        UpstreamId(self.rng.random_range(0..UPSTREAMS))
    }

    fn admit(&mut self) {
        let exclude = match self.rng.random_bool(0.2) {
            true => vec![self.upstream()],
            false => Vec::new(),
        };
        let deadline = self.now + Duration::from_millis(self.rng.random_range(1..2_000));
        match self.core.admit(SERVICE, deadline, &exclude, self.now) {
            Admission::Granted(grant) => {
                assert!(!exclude.contains(&grant.upstream));
                self.running.push(grant);
            }
            Admission::Queued { ticket, .. } => self.queued.push(ticket),
            Admission::Refused(refusal) => {
                let free = self.core.slot_counts(SERVICE, self.now).free;
                let is_expected = free == 0 || !exclude.is_empty();
                assert!(is_expected, "{refusal} with {free} slots free");
                assert!(
                    refusal.reason != NoSlotReason::NoUpstream || !self.has_open_upstream(&exclude)
                );
            }
        }
    }

    fn has_open_upstream(&self, exclude: &[UpstreamId]) -> bool {
        let open = |owned: &&OwnedUpstream| !owned.leaving && owned.moved_permille < 1_000;
        let mut remaining = self.upstreams.iter().filter(open);
        remaining.any(|owned| !exclude.contains(&owned.id)) && self.upstreams.len() > 2
    }

    fn finish_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.running.len());
        let grant = self.running.swap_remove(position);
        let latency = Duration::from_millis(self.rng.random_range(1..100));
        let outcome = match self.rng.random_range(0..20) {
            0 => AttemptOutcome::Shed,
            1 => AttemptOutcome::Refused,
            2 => AttemptOutcome::Failed,
            3 => AttemptOutcome::TimedOut,
            4 => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Answered { latency },
        };
        self.core.release(grant, outcome, self.now);
    }

    fn cancel(&mut self) {
        if let Some(ticket) = self.queued.pop() {
            assert!(
                self.core.cancel(SERVICE, ticket),
                "a queued request is missing"
            );
        }
    }

    fn configure(&mut self) {
        let position = self.rng.random_range(0..self.upstreams.len());
        self.upstreams[position].moved_permille = self.rng.random_range(0..4) * 333 + 1;
        self.upstreams[position].leaving = self.rng.random_bool(0.2);
        self.core.configure(self.now, &self.upstreams);
    }

    fn report(&mut self) {
        let upstream = self.upstream();
        let load = report(self.rng.random_range(0..6), 3, UpstreamState::Ready);
        self.core.report(upstream, load, self.now, self.now);
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..20));
        match self.rng.random_range(0..100) {
            0..45 => self.admit(),
            45..90 => self.finish_one(),
            90..96 => self.cancel(),
            96 => self.configure(),
            97 => self.report(),
            98 => self.core.assume_taken(UpstreamId(0), 2, self.now, self.now),
            _ => self.core.dispatch(SERVICE, self.now),
        }
        for (ticket, grant) in self.core.take_granted() {
            let position = self.queued.iter().position(|queued| *queued == ticket);
            self.queued
                .remove(position.expect("only queued requests get slots"));
            self.running.push(grant);
        }
        self.check();
    }

    fn check(&self) {
        for owned in &self.upstreams {
            let running = self
                .running
                .iter()
                .filter(|grant| grant.upstream == owned.id);
            let count = running.count() as u32;
            assert_eq!(self.core.in_flight(owned.id), count);
            assert!(count <= u32::from(owned.slots), "{count} on {}", owned.id);
        }
        assert_eq!(
            self.core.slot_counts(SERVICE, self.now).queued as usize,
            self.queued.len()
        );
    }
}

#[test]
fn admit_random_never_exceeds_slots_or_refuses_free_slots() {
    for seed in 0..40 {
        let mut run = Run::new(seed);
        (0..STEPS).for_each(|_| run.step());
    }
}

#[test]
fn admit_random_is_reproducible() {
    let choices = |seed| {
        let mut run = Run::new(seed);
        (0..STEPS).for_each(|_| run.step());
        run.running
            .iter()
            .map(|grant| grant.upstream)
            .collect::<Vec<_>>()
    };
    assert_eq!(choices(3), choices(3));
}

#[tokio::test(start_paused = true)]
async fn acquire_random_cancellation_loses_no_slot() {
    for seed in 0..20 {
        let pool = warm(&several(3, 2)).await;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut tasks = Vec::new();
        for _ in 0..200 {
            let service_ms = rng.random_range(1..80);
            tasks.push(tokio::spawn(work(pool.clone(), service_ms)));
            sleep(Duration::from_millis(rng.random_range(0..10))).await;
            if rng.random_bool(0.4) {
                tasks[rng.random_range(0..tasks.len())].abort();
            }
        }
        for task in tasks {
            let _ = task.await;
        }
        let counts = pool.slot_counts(SERVICE);
        assert_eq!((counts.free, counts.queued), (6, 0), "seed {seed}");
    }
}

async fn work(pool: Pool, service_ms: u64) {
    if let Ok(slot) = pool.acquire(SERVICE, in_ms(300), &[]).await {
        sleep(Duration::from_millis(service_ms)).await;
        slot.finish(answered(service_ms));
    }
}
