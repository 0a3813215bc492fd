use std::future::Future;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use laburnumdeal_policy::steer::UpstreamRecord;
use tokio::time::Instant;

/// Source of the list of upstreams.
pub trait UpstreamSource: Send + Sync + 'static {
    /// Reads the whole list.
    fn read(&self) -> impl Future<Output = Result<ListRead, ListError>> + Send;
}

/// Result of reading the list from its source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListRead {
    /// The records.
    pub records: Vec<UpstreamRecord>,
    /// Number of calls made to read the list.
    pub calls: usize,
    /// Number of entries that could not be read and were skipped.
    pub unreadable: usize,
}

/// Reports why the list of upstreams could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ListError {
    /// The source did not answer, or its answer could not be decoded.
    #[display("the list of upstreams cannot be read: {reason}")]
    Unreadable {
        /// What went wrong.
        reason: String,
    },
    /// The source refused the call because of its rate limit.
    #[display("the list of upstreams was asked for too often")]
    RateLimited,
}

/// List of upstreams with the time at which it was read.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// Hash of the records; equivalent lists have equal hashes.
    pub hash: u64,
    /// When the list was read; `None` if it never was.
    pub read_at: Option<Instant>,
    /// The records, sorted by ID.
    pub records: Arc<Vec<UpstreamRecord>>,
}

impl UpstreamList {
    /// Creates a list that was read at `read_at`.
    pub fn new(mut records: Vec<UpstreamRecord>, read_at: Instant) -> Self {
        records.sort_by(|a, b| a.id.cmp(&b.id));
        let mut hasher = twox_hash::XxHash64::with_seed(0);
        for record in &records {
            significant_fields(record).hash(&mut hasher);
        }
        Self {
            hash: hasher.finish(),
            read_at: Some(read_at),
            records: Arc::new(records),
        }
    }

    /// Returns whether two records are equal except for the exact time for which the upstream stays
    /// cold.
    pub fn are_equivalent(one: &UpstreamRecord, other: &UpstreamRecord) -> bool {
        significant_fields(one) == significant_fields(other)
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

/// Returns the fields in which records must differ to count as different. The time for which an
/// upstream stays cold decreases with every read, so only whether it is cold counts.
fn significant_fields(record: &UpstreamRecord) -> impl Hash + PartialEq + '_ {
    let is_cold = record.cold_ms > 0;
    let place = (&record.address, &record.service, &record.zone);
    (&record.id, place, record.leaving, is_cold, record.slots)
}
