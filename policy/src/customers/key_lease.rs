use std::time::Duration;

use laburnumdeal_model::Version;

use crate::customers::{BootTime, LeaseLost};

/// Time for which an instance may use the customers' keys in its configuration.
///
/// A proof names the version that was committed at some time after it was asked for. Once the
/// active configuration has that version, it holds every change confirmed before the proof was
/// asked for, so keys withdrawn earlier are gone from it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_model::Version;
/// use laburnumdeal_policy::customers::{BootTime, KeyLease};
///
/// let mut lease = KeyLease::new(Duration::from_secs(4));
/// let asked_at = BootTime::default();
/// lease.record(asked_at, Version(7));
/// assert!(lease.check(Version(6), asked_at).is_err());
/// assert!(lease.check(Version(7), asked_at).is_ok());
/// assert!(lease.check(Version(7), asked_at + Duration::from_secs(4)).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct KeyLease {
    bound: Duration,
    /// Proofs by the time they were asked for, with versions that increase: an earlier proof that
    /// needs the same version, or a later one, is of no use.
    proofs: Vec<Proof>,
}

#[derive(Clone, Copy, Debug)]
struct Proof {
    asked_at: BootTime,
    version: Version,
}

impl KeyLease {
    /// Creates a lease without a proof. Keys are used no longer than `bound` after a proof was
    /// asked for.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            proofs: Vec::new(),
        }
    }

    /// Records that the leader named `version` as committed, in answer to a question that was sent
    /// after `asked_at` was read.
    pub fn record(&mut self, asked_at: BootTime, version: Version) {
        let bound = self.bound;
        let is_useful = |proof: &Proof| {
            let needs_less = proof.asked_at >= asked_at || proof.version < version;
            needs_less && asked_at.since(proof.asked_at) < bound
        };
        self.proofs.retain(is_useful);
        let is_covered = |proof: &Proof| proof.asked_at >= asked_at && proof.version <= version;
        if self.proofs.iter().any(is_covered) {
            return;
        }
        let place = self.proofs.partition_point(|p| p.asked_at < asked_at);
        self.proofs.insert(place, Proof { asked_at, version });
    }

    /// Checks that keys of the active configuration may be used.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseLost`] if no proof that the version satisfies was asked for within the bound.
    pub fn check(&self, active: Version, now: BootTime) -> Result<(), LeaseLost> {
        let proof_age = self.proof_age(active, now);
        match proof_age {
            Some(age) if age < self.bound => Ok(()),
            _ => Err(LeaseLost { proof_age }),
        }
    }

    /// Returns the age of the newest proof that holds for the active configuration.
    pub fn proof_age(&self, active: Version, now: BootTime) -> Option<Duration> {
        let satisfied = self.proofs.iter().filter(|proof| proof.version <= active);
        let newest = satisfied.map(|proof| proof.asked_at).max();
        newest.map(|asked_at| now.since(asked_at))
    }
}
