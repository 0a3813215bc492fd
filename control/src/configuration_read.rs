use std::sync::Arc;

use laburnumdeal_model::{Configuration, InstanceId};

/// Configuration as a replica knows it, and whether it is proved to be the newest.
#[derive(Clone, Debug)]
pub struct ConfigurationRead {
    /// Newest configuration that this replica knows to be committed.
    pub configuration: Arc<Configuration>,
    /// Whether every change that was acknowledged before the question is in it.
    pub is_confirmed: bool,
    /// Leader as far as this replica knows.
    pub leader: Option<InstanceId>,
}
