use crate::steer::hash_of;

/// Key of a customer in the fair shares. It is made from the name only, so that it outlives a change
/// of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FairCustomer(u64);

impl FairCustomer {
    /// Returns the key of the customer with a name.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::customers::FairCustomer;
    ///
    /// assert_ne!(FairCustomer::new("ama"), FairCustomer::new("kofi"));
    /// ```
    pub fn new(name: &str) -> Self {
        Self(hash_of(&[name.as_bytes()]))
    }
}
