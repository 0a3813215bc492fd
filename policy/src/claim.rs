use laburnumdeal_model::InstanceId;

use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimState, ResultSender};
use crate::{
    ClaimResult, ClaimTable, FencedError, MirrorReply, Outcome, RequestKey, StartedClaim,
    UnknownReason,
};

/// Key that is claimed on the home; nothing has been sent to an upstream yet.
///
/// Dropping the claim before [`Claim::start`] fences the key.
#[derive(Debug)]
pub struct Claim {
    table: ClaimTable,
    key: RequestKey,
    serial: u64,
    sender: ResultSender,
    mirror: Option<InstanceId>,
    is_confirmed: bool,
    begun_ms: u64,
}

impl Claim {
    pub(crate) fn new(
        table: ClaimTable,
        key: RequestKey,
        serial: u64,
        sender: ResultSender,
        mirror: Option<InstanceId>,
        begun_ms: u64,
    ) -> Self {
        Self {
            table,
            key,
            serial,
            sender,
            mirror,
            is_confirmed: mirror.is_none(),
            begun_ms,
        }
    }

    /// Returns the key of the request.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// Returns the mirror, which must claim the key too; `None` if the key has no mirror.
    pub fn mirror(&self) -> Option<InstanceId> {
        self.mirror
    }

    /// Processes the reply of the mirror. After `Ok` the request may start.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report to the caller if the mirror did not claim the key. The key is then
    /// fenced, or marked as possibly run, on the home.
    pub fn confirm_mirror(&mut self, reply: MirrorReply) -> Result<(), Outcome> {
        match reply {
            MirrorReply::Claimed { mirror_boot } => {
                let mut records = self.table.lock();
                let partner = self.mirror.and_then(|m| records.partners.boot(m));
                if self.key.token.is_some() || partner.is_none_or(|boot| boot == mirror_boot) {
                    self.is_confirmed = true;
                    return Ok(());
                }
                // The reply is from a run of the mirror that has been replaced by a later one.
                Err(self.resolve(&mut records, ClaimState::Fenced))
            }
            // A later run has replaced this one and may have run the request.
            MirrorReply::Unknown(UnknownReason::OtherRun) if self.key.token.is_none() => {
                Err(self.resolve(&mut self.table.lock(), ClaimState::Ran))
            }
            MirrorReply::Fenced | MirrorReply::Unknown(_) => {
                Err(self.resolve(&mut self.table.lock(), ClaimState::Fenced))
            }
            MirrorReply::ClaimedByOther => {
                Err(self.resolve(&mut self.table.lock(), ClaimState::Ran))
            }
        }
    }

    /// Marks the request as started. After `Ok`, bytes may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`FencedError`], and the request never runs, if the key was fenced meanwhile, the mirror has
    /// not confirmed, or a tokenless key was claimed longer than the resend horizon ago.
    pub fn start(self) -> Result<StartedClaim, FencedError> {
        let mut records = self.table.lock();
        let horizon_ms = records.settings.resend_horizon_ms;
        let is_expired = self.key.token.is_none() && records.now_ms() > self.begun_ms + horizon_ms;
        if !self.is_confirmed || is_expired || !self.is_pending(&records) {
            drop(records);
            return Err(FencedError);
        }
        let state = ClaimState::Started {
            serial: self.serial,
            sender: self.sender.clone(),
        };
        let partition = records.home_partition(&self.key).ok_or(FencedError)?;
        records.set_state(partition, self.key.id(), state);
        drop(records);
        Ok(StartedClaim::new(
            self.table.clone(),
            self.key,
            self.serial,
            self.sender.clone(),
        ))
    }

    /// Fences the key: the request did not run and never will.
    pub fn abandon(self) {
        drop(self);
    }

    fn is_pending(&self, records: &ClaimRecords) -> bool {
        records
            .home_partition(&self.key)
            .and_then(|id| records.partition(id))
            .and_then(|partition| partition.entry(self.key.id()))
            .is_some_and(|entry| entry.state.is_pending(self.serial))
    }

    /// Ends a claim that has not started and returns the outcome to report to the caller.
    fn resolve(&self, records: &mut ClaimRecords, state: ClaimState) -> Outcome {
        let result = match state {
            ClaimState::Fenced => ClaimResult::NotRun,
            _ => ClaimResult::Unknown,
        };
        if self.is_pending(records) {
            if let Some(partition) = records.home_partition(&self.key) {
                records.set_state(partition, self.key.id(), state);
            }
            self.sender.send_replace(Some(result.clone()));
        }
        result.outcome()
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.resolve(&mut self.table.lock(), ClaimState::Fenced);
    }
}
