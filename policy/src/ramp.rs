use std::collections::HashMap;

use laburnumdeal_model::{ServiceId, ZoneId};
use tokio::time::Instant;

use crate::{RampExceeded, RampSettings};

/// Limits the growth of traffic that has its home in another zone. The caches of this zone are cold
/// for such traffic and need time to warm up.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, ZoneId};
/// use laburnumdeal_policy::{Ramp, RampSettings};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let settings = RampSettings { min_per_step: 1, ..RampSettings::default() };
/// let mut ramp = Ramp::new(settings, now);
/// assert!(ramp.admit(ZoneId(1), ServiceId(0), now).is_ok());
/// assert!(ramp.admit(ZoneId(1), ServiceId(0), now).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Ramp {
    settings: RampSettings,
    started: Instant,
    flows: HashMap<(ZoneId, ServiceId), Flow>,
}

/// Traffic of one home zone and service.
#[derive(Clone, Copy, Debug)]
struct Flow {
    step: u64,
    used: u64,
    /// Requests per step that the caches are warm for.
    warm_requests: u64,
}

impl Ramp {
    /// Creates a ramp without any traffic so far.
    pub fn new(settings: RampSettings, started: Instant) -> Self {
        Self {
            settings,
            started,
            flows: HashMap::new(),
        }
    }

    /// Admits one request that has its home in another zone.
    ///
    /// # Errors
    ///
    /// Returns the time until the next step when the limit of the current step is reached.
    pub fn admit(
        &mut self,
        home: ZoneId,
        service: ServiceId,
        now: Instant,
    ) -> Result<(), RampExceeded> {
        let elapsed_ms = now.saturating_duration_since(self.started).as_millis() as u64;
        let step = elapsed_ms / self.settings.step_ms;
        if !self.flows.contains_key(&(home, service)) {
            self.drop_idle(step);
        }
        let first = Flow {
            step,
            used: 0,
            warm_requests: 0,
        };
        let settings = self.settings;
        let flow = self.flows.entry((home, service)).or_insert(first);
        flow.advance(step, &settings);
        if flow.used >= flow.limit(&settings) {
            return Err(RampExceeded {
                home,
                service,
                retry_after_ms: (settings.step_ms - elapsed_ms % settings.step_ms).max(1),
            });
        }
        flow.used += 1;
        Ok(())
    }

    /// Refunds a request that was admitted at `admitted_at` and then not served. It has no effect
    /// once the step is over.
    pub fn refund(&mut self, home: ZoneId, service: ServiceId, admitted_at: Instant) {
        let step = self.step(admitted_at);
        if let Some(flow) = self.flows.get_mut(&(home, service))
            && flow.step == step
        {
            flow.used = flow.used.saturating_sub(1);
        }
    }

    fn step(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.started);
        elapsed.as_millis() as u64 / self.settings.step_ms
    }

    /// Returns the number of tracked flows.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    fn drop_idle(&mut self, step: u64) {
        let settings = self.settings;
        self.flows.retain(|_, flow| {
            flow.advance(step, &settings);
            flow.used > 0 || flow.limit(&settings) > settings.min_per_step
        });
    }
}

impl Flow {
    /// Returns the maximum number of requests in the current step.
    fn limit(&self, settings: &RampSettings) -> u64 {
        (self.warm_requests * settings.growth_permille / 1_000).max(settings.min_per_step)
    }

    fn advance(&mut self, step: u64, settings: &RampSettings) {
        while self.step < step {
            let decayed = self.warm_requests * settings.decay_permille / 1_000;
            self.warm_requests = self.used.max(decayed);
            self.used = 0;
            self.step += 1;
            if self.warm_requests == 0 {
                self.step = step;
            }
        }
    }
}
