use serde::Deserialize;

use crate::roles::Presence;

/// Content of a presence datagram: the presence of an entry instance, and how much of its link is in
/// use. Older builds read the presence and pass over what follows it.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::roles::{Announcement, Presence, PresenceState};
///
/// let presence = Presence {
///     instance: "entry-1".to_owned(),
///     caller_address: ([10, 0, 0, 1], 8_548).into(),
///     zone: "nasr".to_owned(),
///     region: "cairo".to_owned(),
///     state: PresenceState::Ready,
///     boot_ms: 1,
///     sequence: 1,
/// };
/// let announcement = Announcement { presence, link_use_percent: Some(40) };
/// assert_eq!(Announcement::decode(&announcement.encode())?, announcement);
/// # Ok::<(), rmp_serde::decode::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Presence of the instance.
    pub presence: Presence,
    /// Part of its link that is in use, in percent; `None` if its link is no limit, or an older
    /// build sent the datagram.
    pub link_use_percent: Option<u32>,
}

impl Announcement {
    /// Returns the bytes of the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = rmp_serde::to_vec(&self.presence).expect("plain data encodes");
        if let Some(percent) = self.link_use_percent {
            bytes.extend(rmp_serde::to_vec(&percent).expect("plain data encodes"));
        }
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not begin with a presence.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut decoder = rmp_serde::Deserializer::new(&mut bytes);
        let presence = Presence::deserialize(&mut decoder)?;
        // Newer builds may send something else here.
        let link_use_percent = u32::deserialize(&mut decoder).ok();
        Ok(Self {
            presence,
            link_use_percent,
        })
    }
}
