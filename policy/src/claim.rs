use laburnumdeal_model::InstanceId;

use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimState, FinishSender};
use crate::{
    ClaimResult, ClaimTable, FencedError, MirrorReply, Outcome, RequestKey, StartedClaim,
    UnknownReason,
};

/// Key that is claimed on the home; nothing has been sent.
///
/// Dropping it fences the key.
#[derive(Debug)]
pub struct Claim {
    table: ClaimTable,
    key: RequestKey,
    serial: u64,
    sender: FinishSender,
    mirror: Option<InstanceId>,
    is_confirmed: bool,
    begun_ms: u64,
}

impl Claim {
    pub(crate) fn new(
        table: ClaimTable,
        key: RequestKey,
        serial: u64,
        sender: FinishSender,
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

    /// Returns the instance that must claim the key too, if there is one.
    pub fn mirror(&self) -> Option<InstanceId> {
        self.mirror
    }

    /// Takes the reply of the mirror; after `Ok` the request may start.
    ///
    /// # Errors
    ///
    /// Returns what the caller may be told when the mirror did not claim; the key is then settled here.
    pub fn confirm_mirror(&mut self, reply: MirrorReply) -> Result<(), Outcome> {
        match reply {
            MirrorReply::Claimed { mirror_boot } => {
                let mut records = self.table.lock();
                let partner = self.mirror.and_then(|m| records.partners.boot(m));
                if self.key.token.is_some() || partner.is_none_or(|boot| boot == mirror_boot) {
                    self.is_confirmed = true;
                    return Ok(());
                }
                // The reply is from a run of the mirror that another has replaced.
                Err(self.settle(&mut records, ClaimState::Fenced))
            }
            // Another run has followed this one, and may have run the key.
            MirrorReply::Unknown(UnknownReason::OtherRun) if self.key.token.is_none() => {
                Err(self.settle(&mut self.table.lock(), ClaimState::Ran))
            }
            MirrorReply::Fenced | MirrorReply::Unknown(_) => {
                Err(self.settle(&mut self.table.lock(), ClaimState::Fenced))
            }
            MirrorReply::ClaimedByOther => {
                Err(self.settle(&mut self.table.lock(), ClaimState::Ran))
            }
        }
    }

    /// Passes the point of no return: after `Ok`, bytes may go to an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`FencedError`] if the key was fenced meanwhile or the mirror has not confirmed; it never runs then.
    pub fn start(self) -> Result<StartedClaim, FencedError> {
        let mut records = self.table.lock();
        let horizon_ms = records.settings.resend_horizon_ms;
        let is_late = self.key.token.is_none() && records.now_ms() > self.begun_ms + horizon_ms;
        if !self.is_confirmed || is_late || !self.is_pending(&records) {
            drop(records);
            return Err(FencedError);
        }
        let state = ClaimState::Started {
            serial: self.serial,
            sender: self.sender.clone(),
        };
        let domain = records.home_domain(&self.key).ok_or(FencedError)?;
        records.set_state(domain, self.key.id(), state);
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
            .home_domain(&self.key)
            .and_then(|id| records.domain(id))
            .and_then(|domain| domain.entry(self.key.id()))
            .is_some_and(|entry| entry.state.is_pending(self.serial))
    }

    /// Ends a claim that has not started and returns what the caller may be told.
    fn settle(&self, records: &mut ClaimRecords, state: ClaimState) -> Outcome {
        let finish = match state {
            ClaimState::Fenced => ClaimResult::NotRun,
            _ => ClaimResult::Unknown,
        };
        if self.is_pending(records) {
            if let Some(domain) = records.home_domain(&self.key) {
                records.set_state(domain, self.key.id(), state);
            }
            self.sender.send_replace(Some(finish.clone()));
        }
        finish.outcome()
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.settle(&mut self.table.lock(), ClaimState::Fenced);
    }
}
