//! What binds customers over all instances: the proof that the known keys are fresh.

mod boot_time;
mod key_lease;
mod lease_lost;

pub use boot_time::BootTime;
pub use key_lease::KeyLease;
pub use lease_lost::LeaseLost;
