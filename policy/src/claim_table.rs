use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_shelf::DomainId;
use crate::claim_records::ClaimRecords;
use crate::{ClaimSettings, ClaimStats, KeyId, RequestKey, pair_for_tokenless_key};

/// Claims, fences and answers of the keys that one run of an instance answers for.
///
/// A request runs only after its key was claimed on home and mirror. Either of them can fence a key that it
/// has not claimed, and a fenced key never runs. Clones share one table.
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
/// // Only now may a byte go to an upstream.
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
            records: records.token_records() + records.bare.len(),
            answer_bytes: records.answers.len_bytes(),
            floor_ms: records.own.floor_ms,
            imported_runs: records.imports.iter().filter(|i| i.is_complete()).count(),
        }
    }

    /// Notes that this process is running; to be called about once a second.
    ///
    /// A process that was frozen for longer than the resend horizon may have been replaced. It answers
    /// for keys without a token like a restarted one.
    pub fn tick(&self) {
        self.lock().tick();
    }

    /// Returns whether tokens that name this run of an instance are answered for here.
    pub fn is_responsible_for(&self, instance: InstanceId, boot: BootId) -> bool {
        self.lock().domain_of_run(instance, boot).is_some()
    }

    /// Returns the records; a panic of another holder leaves them as they were.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ClaimRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClaimRecords {
    /// Returns the domain in which this instance acts as the home of a key.
    pub fn home_domain(&self, key: &RequestKey) -> Option<DomainId> {
        match key.token {
            Some(token) => self.domain_of_run(token.home, token.home_boot),
            None => (self.bare_pair(key.id()).0 == self.settings.me).then_some(DomainId::Bare),
        }
    }

    /// Returns the domain in which this instance acts as the mirror of a key.
    pub fn mirror_domain(&self, key: &RequestKey) -> Option<DomainId> {
        match key.token {
            Some(token) => {
                let (mirror, mirror_boot) = token.mirror?;
                self.domain_of_run(mirror, mirror_boot)
            }
            None => {
                (self.bare_pair(key.id()).1 == Some(self.settings.me)).then_some(DomainId::Bare)
            }
        }
    }

    /// Returns the instance that must confirm a claim of this home.
    pub fn mirror_of(&self, key: &RequestKey) -> Option<InstanceId> {
        match key.token {
            Some(token) => token.mirror.map(|(mirror, _)| mirror),
            None => self.bare_pair(key.id()).1,
        }
    }

    /// Returns home and mirror of a key without a token.
    pub fn bare_pair(&self, key: KeyId) -> (InstanceId, Option<InstanceId>) {
        if self.settings.members.is_empty() {
            return (self.settings.me, None);
        }
        pair_for_tokenless_key(key, &self.settings.members)
    }

    /// Returns the other member of the pair of a key without a token.
    pub fn bare_partner(&self, key: KeyId) -> Option<InstanceId> {
        let (home, mirror) = self.bare_pair(key);
        if home == self.settings.me {
            mirror
        } else {
            Some(home)
        }
    }
}
