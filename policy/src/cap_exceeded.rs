use derive_more::{Display, Error};

use crate::CapKey;

/// Reports that an amount does not fit in this instance's share of a cap.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "{key} is at its cap; {max_amount} or fewer fit at once, come back in {retry_after_ms} ms"
)]
pub struct CapExceeded {
    /// Cap that would be exceeded.
    pub key: CapKey,
    /// Time after which the amount fits if nothing else is spent.
    pub retry_after_ms: u64,
    /// Largest amount that ever fits at once; a larger one must be split.
    pub max_amount: u64,
}
