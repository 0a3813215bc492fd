use laburnumdeal_policy::steer::UpstreamRecord;
use serde::{Deserialize, Serialize};

use crate::roles::ListChanges;

/// Update of a list of upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ListUpdate {
    /// No contents: the receiver has the newest list, or did not ask for contents.
    #[serde(rename = "Mark")]
    HashOnly,
    /// Changes to the list that the receiver has.
    Changes(ListChanges),
    /// The whole list.
    Whole(Vec<UpstreamRecord>),
}
