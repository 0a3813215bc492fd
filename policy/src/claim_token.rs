use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

/// Token of a look-up that names the two instances of one availability zone responsible for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimToken {
    /// Instance that claims a key and sends its request to an upstream.
    pub home: InstanceId,
    /// Boot id of the home when the token was issued.
    pub home_boot: BootId,
    /// Instance that must claim a key too, with its boot id; `None` if the zone has only one instance.
    pub mirror: Option<(InstanceId, BootId)>,
    /// Time of issue on the clock of the issuer.
    pub issued_ms: u64,
}

impl ClaimToken {
    /// Returns whether this run of an instance is the home.
    pub fn is_home(&self, instance: InstanceId, boot: BootId) -> bool {
        (self.home, self.home_boot) == (instance, boot)
    }

    /// Returns whether this run of an instance is the mirror.
    pub fn is_mirror(&self, instance: InstanceId, boot: BootId) -> bool {
        self.mirror == Some((instance, boot))
    }
}
