use laburnumdeal_policy::steer::UpstreamRecord;
use serde::{Deserialize, Serialize};

use crate::roles::ListChanges;

/// Newer list of upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ListUpdate {
    /// Its hash is known, or its contents were not asked for.
    #[serde(rename = "Mark")]
    HashOnly,
    /// Changes of the list that was known.
    Changes(ListChanges),
    /// All of it.
    Whole(Vec<UpstreamRecord>),
}
