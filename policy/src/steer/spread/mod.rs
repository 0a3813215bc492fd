//! Spread of callers over the entry instances of several regions by how much of their links is in use.

mod caller_spread;
mod link_use;

pub use caller_spread::CallerSpread;
pub use link_use::LinkUse;
