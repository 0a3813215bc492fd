use std::sync::Arc;

use laburnumdeal_model::{Configuration, InstanceId};

/// Result of reading the configuration from a replica.
#[derive(Clone, Debug)]
pub struct ConfigurationRead {
    /// Last configuration that this replica knows to be committed.
    pub configuration: Arc<Configuration>,
    /// Whether the read is linearizable: every change acknowledged before the read began is
    /// included.
    pub is_confirmed: bool,
    /// Leader known to this replica.
    pub leader: Option<InstanceId>,
}
