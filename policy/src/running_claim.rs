use tokio::sync::watch;

use crate::ClaimFinish;

/// Handle of a request in flight, for resends of its key.
#[derive(Clone, Debug)]
pub struct RunningClaim {
    pub(crate) finish: watch::Receiver<Option<ClaimFinish>>,
}

impl RunningClaim {
    /// Waits until the request has ended and returns how.
    ///
    /// # Examples
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{TokenlessHistory, Begin, ClaimFinish, ClaimSettings, ClaimTable, RequestKey, TokenSealer};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// let Begin::Claimed(claim) = home.begin(&key, 5) else { unreachable!() };
    /// let Begin::Running(running) = home.begin(&key, 5) else { unreachable!() };
    /// claim.abandon();
    /// assert_eq!(running.wait().await, ClaimFinish::NotRun);
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// # }).unwrap();
    /// ```
    pub async fn wait(mut self) -> ClaimFinish {
        match self.finish.wait_for(Option::is_some).await {
            Ok(finish) => finish.clone().unwrap_or(ClaimFinish::Unknown),
            Err(_) => ClaimFinish::Unknown,
        }
    }

    /// Returns how the request ended, or `None` while it is in flight.
    pub fn finish(&self) -> Option<ClaimFinish> {
        self.finish.borrow().clone()
    }
}
