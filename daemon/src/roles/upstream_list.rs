use std::future::Future;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use laburnumdeal_policy::steer::UpstreamRecord;
use tokio::time::Instant;

/// Where the list of upstreams is read.
pub trait UpstreamSource: Send + Sync + 'static {
    /// Reads the whole list.
    fn read(&self) -> impl Future<Output = Result<ListRead, ListError>> + Send;
}

/// List as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListRead {
    /// The records.
    pub records: Vec<UpstreamRecord>,
    /// Calls that reading it took.
    pub calls: usize,
    /// Entries that could not be read, and were left out.
    pub unreadable: usize,
}

/// Reports why the list of upstreams could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ListError {
    /// No answer, or none that can be read.
    #[display("the list of upstreams cannot be read: {reason}")]
    Unreadable {
        /// What went wrong.
        reason: String,
    },
    /// The list was asked for too often.
    #[display("the list of upstreams was asked for too often")]
    RateLimited,
}

/// List of upstreams with the time when it was read.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// Hash of the records; equal lists have equal hashes.
    pub hash: u64,
    /// When the list was read; `None` before the first time.
    pub read_at: Option<Instant>,
    /// The records.
    pub records: Arc<Vec<UpstreamRecord>>,
}

impl UpstreamList {
    /// Returns a list that was read at a time.
    pub fn new(mut records: Vec<UpstreamRecord>, read_at: Instant) -> Self {
        records.sort_by(|a, b| a.id.cmp(&b.id));
        let mut hasher = twox_hash::XxHash64::with_seed(0);
        for record in &records {
            compared(record).hash(&mut hasher);
        }
        Self {
            hash: hasher.finish(),
            read_at: Some(read_at),
            records: Arc::new(records),
        }
    }

    /// Returns whether two records say the same of an upstream, but for the exact time for which it
    /// stays cold.
    pub fn are_equivalent(one: &UpstreamRecord, other: &UpstreamRecord) -> bool {
        compared(one) == compared(other)
    }

    /// Returns how long ago the list was read.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether this list was read later than another.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.read_at > other.read_at
    }
}

/// Returns what makes records differ; the time for which an upstream stays cold runs down with
/// every read and does not count by itself.
fn compared(record: &UpstreamRecord) -> impl Hash + PartialEq + '_ {
    let is_cold = record.cold_ms > 0;
    let place = (&record.address, &record.service, &record.zone);
    (&record.id, place, record.leaving, is_cold, record.slots)
}
