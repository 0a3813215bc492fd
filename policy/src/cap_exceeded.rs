use derive_more::{Display, Error};

use crate::CapKey;

/// Error for an amount that does not fit into this instance's share of a cap.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "{key} is at its cap; {max_amount} or fewer fit at once, come back in {retry_after_ms} ms"
)]
pub struct CapExceeded {
    /// Cap that would be exceeded.
    pub key: CapKey,
    /// Time after which the amount fits, if nothing else is spent meanwhile.
    pub retry_after_ms: u64,
    /// Maximum amount that can be spent at once. A larger one must be split.
    pub max_amount: u64,
}
