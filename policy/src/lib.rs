//! Routing decisions, without sockets.
//!
//! ```
//! use laburnumdeal_model::{ServiceId, UpstreamId};
//! use laburnumdeal_policy::{OwnedUpstream, Pool, PoolSettings};
//!
//! let pool = Pool::new(PoolSettings::default());
//! let upstream = OwnedUpstream {
//!     id: UpstreamId(0), service: ServiceId(0),
//!     slots: 9, connections: 330, moved_permille: 0, leaving: false,
//! };
//! pool.configure(tokio::time::Instant::now(), &[upstream]);
//! assert!(pool.try_acquire(ServiceId(0), &[]).is_some());
//! ```

mod admission;
mod assumed_slots;
mod candidate;
mod choosing;
mod ejection;
mod ending;
mod grant;
mod latency;
mod latency_window;
mod load_report;
mod no_slot;
mod owned_upstream;
mod pool;
mod pool_core;
mod pool_load;
mod pool_settings;
mod queueing;
mod reported_load;
mod room;
mod service_entry;
mod service_time;
mod shed_limit;
mod slot;
mod slow_start;
mod standing;
mod ticket;
mod upstream_entry;
mod upstream_state;
mod waiter;
mod waiting;

pub use admission::Admission;
pub use candidate::{Candidate, CandidateReason};
pub use ending::Ending;
pub use grant::Grant;
pub use load_report::LoadReport;
pub use no_slot::{NoSlot, NoSlotReason};
pub use owned_upstream::OwnedUpstream;
pub use pool::Pool;
pub use pool_core::PoolCore;
pub use pool_settings::PoolSettings;
pub use room::Room;
pub use slot::Slot;
pub use ticket::Ticket;
pub use upstream_state::UpstreamState;
