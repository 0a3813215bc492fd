/// Highest limit that is split; a higher one does not bind.
const MAX_LIMIT: f64 = 1e12;

/// Share of one instance in a limit that holds for all instances together. The instances are put in
/// an order; what rounding leaves over is spread over them in that order.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::InstanceShare;
///
/// let share = |before, own| InstanceShare { before, own, total: 9.0, instances: 2 };
/// assert_eq!(share(0.0, 1.0).quota(27.0), 3);
/// assert_eq!(share(1.0, 8.0).quota(27.0), 24);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceShare {
    /// Sum of the weights of the instances before this one.
    pub before: f64,
    /// Weight of this instance.
    pub own: f64,
    /// Sum of the weights of all instances; above 0.
    pub total: f64,
    /// Number of all instances.
    pub instances: usize,
}

impl InstanceShare {
    /// Returns this instance's part of a limit. The parts of all instances add up to the limit,
    /// rounded down.
    pub fn quota(&self, limit: f64) -> usize {
        let limit = limit.clamp(0.0, MAX_LIMIT).floor();
        let up_to = |weight: f64| (limit * weight / self.total) as usize;
        up_to(self.before + self.own) - up_to(self.before)
    }
}
