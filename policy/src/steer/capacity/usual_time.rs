use crate::steer::Quartile;

/// Time of an answer that is usual for a service at one instance, by kind. Quartiles stay while less
/// than three quarters of the upstreams are slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualTime {
    hit_ms: Quartile,
    miss_ms: Quartile,
}

impl UsualTime {
    /// Returns the time of an answer from the cache of an upstream, once there are enough.
    pub fn hit_ms(&self) -> Option<f64> {
        self.hit_ms.value()
    }

    /// Records the time of an answer of an upstream that was known to hold the object, or not.
    pub fn record(&mut self, is_known: bool, took_ms: f64) {
        match is_known {
            true => self.hit_ms.record(took_ms),
            false => self.miss_ms.record(took_ms),
        }
    }

    /// Returns a time as a multiple of the usual one. An upstream that was not known to hold the
    /// object may have it all the same, so that neither a hit nor a miss counts as another speed.
    pub fn ratio(&self, is_known: bool, took_ms: f64) -> Option<f64> {
        let hit_ms = self.hit_ms.value()?;
        let as_hit = took_ms / hit_ms;
        if is_known {
            return Some(as_hit);
        }
        let as_miss = took_ms / self.miss_ms.value()?.max(hit_ms);
        Some(as_miss.max(as_hit.min(1.0)))
    }
}
