use derive_more::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Mean service time at full speed.
pub const SERVICE_MEAN_US: u64 = 20_000;

/// Minimum service time at full speed.
const SERVICE_MIN_US: u64 = 5_000;

/// Time from the arrival of a request to its deadline.
pub const DEADLINE_US: u64 = 400_000;

/// Factor by which the service time of a slow upstream is longer.
pub const SLOW_FACTOR: f64 = 4.0;

/// Upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub name: &'static str,
    pub upstreams: u32,
    pub slots: u16,
}

/// Fault of some upstreams in a scenario.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
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
    /// A third of the upstreams loses its caches after a second and does not report it.
    #[display("flushed")]
    Flushed,
    /// One upstream stops answering after a second, but still accepts requests.
    #[display("one frozen")]
    Frozen,
}

/// Parameters of one run, which is one row of the table.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fleet: Fleet,
    pub fault: Fault,
    pub load_percent: u32,
    pub seconds: u64,
    pub seed: u64,
}

/// A request, which is the same for every policy.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at_us: u64,
    pub service_us: u64,
}

impl Scenario {
    /// Returns the capacity of the fleet, in slots that work at full speed.
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
        let utilization = f64::from(self.load_percent) / 100.0;
        let gap_us = SERVICE_MEAN_US as f64 / (self.capacity() * utilization);
        let mut at_us = 0.0;
        let mut requests = Vec::new();
        while at_us < self.seconds as f64 * 1e6 {
            at_us += exponential(&mut rng) * gap_us;
            let additional_us = exponential(&mut rng) * (SERVICE_MEAN_US - SERVICE_MIN_US) as f64;
            requests.push(Request {
                at_us: at_us as u64,
                service_us: SERVICE_MIN_US + additional_us as u64,
            });
        }
        requests
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
