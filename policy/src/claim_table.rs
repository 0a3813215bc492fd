use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_queue::PartitionId;
use crate::claim_records::ClaimRecords;
use crate::{ClaimSettings, ClaimStats, KeyId, RequestKey, pair_for_tokenless_key};

/// Claims, fences and stored answers of the keys that one run of an instance is responsible for.
///
/// The table makes sure that a request with a key runs at most once. The request runs only after its key was
/// claimed on both its home and its mirror. Either of them can fence a key that it has not claimed, and the
/// request of a fenced key never runs. A key with a token names the runs of its home and mirror; for a
/// tokenless key they are chosen by hash.
///
/// A run of an instance is one lifetime of its process, identified by the boot id. Clones share one table.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{BootId, InstanceId};
/// use laburnumdeal_policy::{
///     BeginReply, ClaimSettings, ClaimTable, ClaimToken, RequestKey, StoredAnswer, TokenSealer,
/// };
///
/// let home = ClaimTable::new(ClaimSettings::new(InstanceId(1), BootId(70)));
/// let mirror = ClaimTable::new(ClaimSettings::new(InstanceId(2), BootId(71)));
/// let sealer = TokenSealer::new(b"secret of the cluster");
/// let token = ClaimToken {
///     home: InstanceId(1),
///     home_boot: BootId(70),
///     mirror: Some((InstanceId(2), BootId(71))),
///     issued_ms: 1_000,
/// };
/// let key = RequestKey::parse(&format!("{}.unlock-1", sealer.seal(&token)), &sealer)?;
///
/// let BeginReply::Claimed(mut claim) = home.begin(&key, 5) else { unreachable!() };
/// let reply = mirror.mirror_claim(&key, 5, InstanceId(1), BootId(70));
/// claim.confirm_mirror(reply).unwrap();
/// let started = claim.start().unwrap();
/// // Only now may the request be sent to an upstream.
/// started.finish(StoredAnswer { status: 200, ..StoredAnswer::default() });
/// assert!(matches!(home.begin(&key, 5), BeginReply::Finished(_)));
/// # Ok::<(), laburnumdeal_policy::KeyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ClaimTable {
    records: Arc<Mutex<ClaimRecords>>,
}

impl ClaimTable {
    /// Returns an empty table for one run of an instance.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            records: Arc::new(Mutex::new(ClaimRecords::new(settings))),
        }
    }

    /// Returns the sizes of the table.
    pub fn stats(&self) -> ClaimStats {
        let records = self.lock();
        ClaimStats {
            records: records.token_record_count() + records.tokenless.len(),
            answer_bytes: records.answers.len_bytes(),
            floor_ms: records.own.floor_ms,
            imported_runs: records.imports.iter().filter(|i| i.is_complete()).count(),
        }
    }

    /// Records that this process is running; to be called about once a second.
    ///
    /// A process that was frozen for longer than the resend horizon may have been replaced, and treats
    /// tokenless keys like a restarted one.
    pub fn tick(&self) {
        self.lock().tick();
    }

    /// Returns whether this instance is responsible for keys whose token names the run of an instance.
    pub fn is_responsible_for(&self, instance: InstanceId, boot: BootId) -> bool {
        self.lock().partition_of_run(instance, boot).is_some()
    }

    /// Locks the records. A poisoned lock is ignored: the records stay as the panicking holder left them.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ClaimRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClaimRecords {
    /// Returns the partition in which this instance is the home of a key.
    pub fn home_partition(&self, key: &RequestKey) -> Option<PartitionId> {
        match key.token {
            Some(token) => self.partition_of_run(token.home, token.home_boot),
            None => (self.tokenless_pair(key.id()).0 == self.settings.me)
                .then_some(PartitionId::Tokenless),
        }
    }

    /// Returns the partition in which this instance is the mirror of a key.
    pub fn mirror_partition(&self, key: &RequestKey) -> Option<PartitionId> {
        match key.token {
            Some(token) => {
                let (mirror, mirror_boot) = token.mirror?;
                self.partition_of_run(mirror, mirror_boot)
            }
            None => (self.tokenless_pair(key.id()).1 == Some(self.settings.me))
                .then_some(PartitionId::Tokenless),
        }
    }

    /// Returns the mirror that must confirm a claim of the key.
    pub fn mirror_of(&self, key: &RequestKey) -> Option<InstanceId> {
        match key.token {
            Some(token) => token.mirror.map(|(mirror, _)| mirror),
            None => self.tokenless_pair(key.id()).1,
        }
    }

    /// Returns home and mirror of a tokenless key.
    pub fn tokenless_pair(&self, key: KeyId) -> (InstanceId, Option<InstanceId>) {
        if self.settings.members.is_empty() {
            return (self.settings.me, None);
        }
        pair_for_tokenless_key(key, &self.settings.members)
    }

    /// Returns the partner of this instance for a tokenless key: the mirror if this instance is the home,
    /// the home otherwise.
    pub fn tokenless_partner(&self, key: KeyId) -> Option<InstanceId> {
        let (home, mirror) = self.tokenless_pair(key);
        if home == self.settings.me {
            mirror
        } else {
            Some(home)
        }
    }
}
