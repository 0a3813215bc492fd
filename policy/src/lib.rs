//! Decisions of laburnumdeal without sockets: routing, slots, shares, claims, retries, membership.

mod answer_shelf;
mod bare_partners;
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
mod fenced;
mod key_id;
mod outcome;
mod poison_check;
mod poison_mark;
mod poison_settings;
mod poison_table;
mod request_key;
mod retry;
mod retry_budget;
mod stored_answer;
mod token_sealer;

pub use claim::Claim;
pub use claim_finish::{ClaimFinish, RunningClaim};
pub use claim_hand_over::{
    ClaimRecord, ExportId, HAND_OVER_ANSWER_BYTES, HAND_OVER_RECORDS, HandOver, MAX_IMPORTED_RUNS,
    RecordState,
};
pub use claim_pair::pair_for_bare_key;
pub use claim_replies::{Begin, FenceReply, MirrorReply, UnknownReason};
pub use claim_settings::{BareStart, ClaimSettings};
pub use claim_started::Started;
pub use claim_stats::ClaimStats;
pub use claim_sync::BareSync;
pub use claim_table::ClaimTable;
pub use claim_token::ClaimToken;
pub use fenced::Fenced;
pub use key_id::KeyId;
pub use outcome::{Outcome, OutcomeError};
pub use poison_check::PoisonCheck;
pub use poison_mark::{PoisonCrash, PoisonMark};
pub use poison_settings::PoisonSettings;
pub use poison_table::PoisonTable;
pub use request_key::{KeyError, MAX_NONCE_CHARS, RequestKey};
pub use retry::{NotRunProof, RetryRequest, may_retry};
pub use retry_budget::RetryBudget;
pub use stored_answer::StoredAnswer;
pub use token_sealer::{TokenError, TokenSealer};
