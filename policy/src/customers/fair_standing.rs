use std::time::Duration;

/// Requests of a customer per second lately, and its fair share of the places.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FairStanding {
    /// Places that are its fair share; what it wants if there is room for all.
    pub share_per_s: f64,
    /// Requests that got a place.
    pub admitted_per_s: f64,
    /// Requests that wanted one.
    pub wanted_per_s: f64,
    /// Time since the share was decided.
    pub age: Duration,
}

impl FairStanding {
    /// Returns the standing in two classes together, as old as the older one.
    pub fn plus(self, other: Self) -> Self {
        Self {
            share_per_s: self.share_per_s + other.share_per_s,
            admitted_per_s: self.admitted_per_s + other.admitted_per_s,
            wanted_per_s: self.wanted_per_s + other.wanted_per_s,
            age: self.age.max(other.age),
        }
    }
}
