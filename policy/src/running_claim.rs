use tokio::sync::watch;

use crate::ClaimResult;

/// Handle with which resends of a key wait for the request in flight.
#[derive(Clone, Debug)]
pub struct RunningClaim {
    pub(crate) result: watch::Receiver<Option<ClaimResult>>,
}

impl RunningClaim {
    /// Waits for the end of the request and returns its result.
    ///
    /// # Examples
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{BeginReply, ClaimResult, ClaimSettings, ClaimTable, RequestKey, TokenSealer, TokenlessHistory};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// let BeginReply::Claimed(claim) = home.begin(&key, 5) else { unreachable!() };
    /// let BeginReply::Running(running) = home.begin(&key, 5) else { unreachable!() };
    /// claim.abandon();
    /// assert_eq!(running.wait().await, ClaimResult::NotRun);
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// # }).unwrap();
    /// ```
    pub async fn wait(mut self) -> ClaimResult {
        match self.result.wait_for(Option::is_some).await {
            Ok(result) => result.clone().unwrap_or(ClaimResult::Unknown),
            Err(_) => ClaimResult::Unknown,
        }
    }

    /// Returns the result of the request, or `None` while it is in flight.
    pub fn result(&self) -> Option<ClaimResult> {
        self.result.borrow().clone()
    }
}
