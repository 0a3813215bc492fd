use crate::steer::{PRIORITIES, hash_of};

/// Requests that compete for the same places: those of one service and priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FairClass {
    service: u64,
    priority: u32,
}

impl FairClass {
    /// Returns the class of requests of a service with a priority. Priorities that the choice does
    /// not tell apart are one.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::customers::FairClass;
    ///
    /// assert_eq!(FairClass::new("catalog", 2), FairClass::new("catalog", 7));
    /// assert_ne!(FairClass::new("catalog", 2), FairClass::new("catalog", 0));
    /// ```
    pub fn new(service: &str, priority: u32) -> Self {
        Self {
            service: hash_of(&[service.as_bytes()]),
            priority: priority.min(PRIORITIES as u32 - 1),
        }
    }

    /// Returns the classes of the same service that are more urgent.
    pub(super) fn more_urgent(self) -> impl Iterator<Item = Self> {
        (0..self.priority).map(move |priority| Self { priority, ..self })
    }
}
