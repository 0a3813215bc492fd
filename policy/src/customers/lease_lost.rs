use std::time::Duration;

use derive_more::{Display, Error};

/// Error of a key lease that has ended, or never began: the configuration may be older than the
/// bound, so no key in it may be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the configuration is not proven fresh; newest proof: {}", age_text(*proof_age))]
pub struct LeaseLost {
    /// Age of the newest proof that holds for the active configuration; `None` without one.
    pub proof_age: Option<Duration>,
}

fn age_text(age: Option<Duration>) -> String {
    age.map_or_else(
        || "none".to_owned(),
        |age| format!("{} ms old", age.as_millis()),
    )
}
