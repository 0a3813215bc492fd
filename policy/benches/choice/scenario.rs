use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Mean service time at full speed.
pub const SERVICE_MEAN_US: u64 = 20_000;

/// Shortest service time at full speed.
const SERVICE_MIN_US: u64 = 5_000;

/// Time from arrival to deadline.
pub const DEADLINE_US: u64 = 400_000;

/// Factor by which a slow upstream takes longer.
pub const SLOW_FACTOR: f64 = 4.0;

/// Upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub name: &'static str,
    pub upstreams: u32,
    pub slots: u16,
}

/// What is wrong with some upstreams.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[display("none")]
    None,
    /// One upstream is slow.
    #[display("one slow")]
    Slow,
    /// One upstream sheds beyond half of its slots.
    #[display("one sheds")]
    Sheds,
    /// A third of the upstreams joins with cold caches at the start.
    #[display("third cold")]
    Cold,
    /// A third of the upstreams loses its caches after a second and says nothing.
    #[display("flushed")]
    Flushed,
    /// One upstream stops answering after a second, but still takes requests.
    #[display("one frozen")]
    Frozen,
}

/// One cell of the table.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fleet: Fleet,
    pub fault: Fault,
    pub load_percent: u32,
    pub seconds: u64,
    pub seed: u64,
}

/// One request, the same for every policy.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at_us: u64,
    pub service_us: u64,
}

impl Scenario {
    /// Returns the slots that do useful work at full speed.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.fleet.slots);
        let others = f64::from(self.fleet.upstreams - 1) * slots;
        match self.fault {
            Fault::None | Fault::Cold | Fault::Flushed => others + slots,
            Fault::Slow => others + slots / SLOW_FACTOR,
            Fault::Frozen => others,
            Fault::Sheds => others + f64::from(self.fleet.slots.div_ceil(2)),
        }
    }

    /// Returns the number of upstreams that start cold.
    pub fn cold(&self) -> u32 {
        match self.fault {
            Fault::Cold => self.fleet.upstreams / 3,
            _ => 0,
        }
    }

    /// Returns the number of upstreams that lose their caches.
    pub fn flushed(&self) -> u32 {
        match self.fault {
            Fault::Flushed => self.fleet.upstreams / 3,
            _ => 0,
        }
    }

    /// Returns the requests in order of arrival.
    pub fn requests(&self) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let share = f64::from(self.load_percent) / 100.0;
        let gap_us = SERVICE_MEAN_US as f64 / (self.capacity() * share);
        let mut at_us = 0.0;
        let mut requests = Vec::new();
        while at_us < self.seconds as f64 * 1e6 {
            at_us += exponential(&mut rng) * gap_us;
            let over_us = exponential(&mut rng) * (SERVICE_MEAN_US - SERVICE_MIN_US) as f64;
            requests.push(Request {
                at_us: at_us as u64,
                service_us: SERVICE_MIN_US + over_us as u64,
            });
        }
        requests
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
