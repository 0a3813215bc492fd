//! Decisions of laburnumdeal without sockets: routing, slots, shares, claims, retries, membership.
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
mod answer_shelf;
mod assumed_slots;
mod candidate;
mod claim;
mod claim_begin;
mod claim_domain;
mod claim_fence;
mod claim_finish;
mod claim_hand_over;
mod claim_import;
mod claim_mirror;
mod claim_pair;
mod claim_records;
mod claim_replies;
mod claim_settings;
mod claim_started;
mod claim_state;
mod claim_stats;
mod claim_sync;
mod claim_table;
mod claim_token;
mod ejection;
mod ending;
mod fenced;
mod key_id;
mod latency;
mod latency_window;
mod load_report;
mod no_slot;
mod outcome;
mod owned_upstream;
mod poison_check;
mod poison_mark;
mod poison_settings;
mod poison_table;
mod pool;
mod pool_core;
mod pool_settings;
mod reported_load;
mod request_key;
mod retry;
mod retry_budget;
mod room;
mod service_entry;
mod service_time;
mod shed_limit;
mod slot;
mod slot_grant;
mod slow_start;
mod standing;
mod stored_answer;
mod ticket;
mod token_sealer;
mod upstream_entry;
mod upstream_state;
mod waiter;
mod waiting;

pub use admission::Admission;
pub use candidate::{Candidate, CandidateReason};
pub use claim::Claim;
pub use claim_finish::{ClaimFinish, RunningClaim};
pub use claim_hand_over::{
    ClaimRecord, HAND_OVER_ANSWER_BYTES, HAND_OVER_RECORDS, HandOver, MAX_IMPORTED_RUNS,
    RecordState,
};
pub use claim_pair::pair_for_bare_key;
pub use claim_replies::{Begin, FenceReply, MirrorReply, UnknownReason};
pub use claim_settings::{BareStart, ClaimSettings};
pub use claim_started::Started;
pub use claim_stats::ClaimStats;
pub use claim_table::ClaimTable;
pub use claim_token::ClaimToken;
pub use ending::Ending;
pub use fenced::Fenced;
pub use key_id::KeyId;
pub use load_report::LoadReport;
pub use no_slot::{NoSlot, NoSlotReason};
pub use outcome::{Outcome, OutcomeError};
pub use owned_upstream::OwnedUpstream;
pub use poison_check::PoisonCheck;
pub use poison_mark::{PoisonCrash, PoisonMark};
pub use poison_settings::PoisonSettings;
pub use poison_table::PoisonTable;
pub use pool::Pool;
pub use pool_core::PoolCore;
pub use pool_settings::PoolSettings;
pub use request_key::{KeyError, MAX_NONCE_CHARS, RequestKey};
pub use retry::{NotRunProof, RetryRequest, may_retry};
pub use retry_budget::RetryBudget;
pub use room::Room;
pub use slot::Slot;
pub use slot_grant::SlotGrant;
pub use stored_answer::StoredAnswer;
pub use ticket::Ticket;
pub use token_sealer::{TokenError, TokenSealer};
pub use upstream_state::UpstreamState;
