use std::sync::Arc;

use crate::claim_state::{ClaimState, ResultSender};
use crate::{ClaimResult, ClaimTable, RequestKey, StoredAnswer};

/// Claim whose request may have reached an upstream.
///
/// Dropping it marks the outcome of the request as unknown.
#[derive(Debug)]
pub struct StartedClaim {
    table: ClaimTable,
    key: RequestKey,
    serial: u64,
    sender: ResultSender,
    is_finished: bool,
}

impl StartedClaim {
    pub(crate) fn new(
        table: ClaimTable,
        key: RequestKey,
        serial: u64,
        sender: ResultSender,
    ) -> Self {
        Self {
            table,
            key,
            serial,
            sender,
            is_finished: false,
        }
    }

    /// Returns the key of the request.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// Stores the complete answer for resends and returns it for the caller.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{BeginReply, ClaimSettings, ClaimTable, RequestKey, StoredAnswer, TokenSealer, TokenlessHistory};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// let BeginReply::Claimed(claim) = home.begin(&key, 5) else { unreachable!() };
    /// let started = claim.start().unwrap();
    /// started.finish(StoredAnswer { status: 204, ..StoredAnswer::default() });
    /// let BeginReply::Finished(answer) = home.begin(&key, 5) else { unreachable!() };
    /// assert_eq!(answer.status, 204);
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// ```
    pub fn finish(mut self, answer: StoredAnswer) -> Arc<StoredAnswer> {
        let answer = Arc::new(answer);
        self.complete(ClaimResult::Answer(Arc::clone(&answer)));
        answer
    }

    /// Marks the outcome of the request as unknown: it may have run.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{BeginReply, ClaimSettings, ClaimTable, RequestKey, TokenSealer, TokenlessHistory};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// let BeginReply::Claimed(claim) = home.begin(&key, 5) else { unreachable!() };
    /// claim.start().unwrap().finish_unknown();
    /// assert!(matches!(home.begin(&key, 5), BeginReply::AlreadyRan));
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// ```
    pub fn finish_unknown(self) {
        drop(self);
    }

    /// Fences the key after proof that the upstream ran no part of the request.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{BeginReply, ClaimSettings, ClaimTable, RequestKey, TokenSealer, TokenlessHistory};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// let BeginReply::Claimed(claim) = home.begin(&key, 5) else { unreachable!() };
    /// claim.start().unwrap().finish_not_run();
    /// assert!(matches!(home.begin(&key, 5), BeginReply::Fenced));
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// ```
    pub fn finish_not_run(mut self) {
        self.complete(ClaimResult::NotRun);
    }

    fn complete(&mut self, result: ClaimResult) {
        self.is_finished = true;
        let mut records = self.table.lock();
        let partition = records.home_partition(&self.key).filter(|id| {
            records
                .partition(*id)
                .and_then(|partition| partition.entry(self.key.id()))
                .is_some_and(|entry| entry.state.is_started(self.serial))
        });
        if let Some(partition) = partition {
            match &result {
                ClaimResult::Answer(answer) => {
                    records.set_state(partition, self.key.id(), ClaimState::Ran);
                    records.set_answer(partition, self.key.id(), Arc::clone(answer));
                }
                ClaimResult::NotRun => {
                    records.set_state(partition, self.key.id(), ClaimState::Fenced)
                }
                ClaimResult::Unknown => {
                    records.set_state(partition, self.key.id(), ClaimState::Ran)
                }
            }
        }
        self.sender.send_replace(Some(result));
    }
}

impl Drop for StartedClaim {
    fn drop(&mut self) {
        if !self.is_finished {
            self.complete(ClaimResult::Unknown);
        }
    }
}
