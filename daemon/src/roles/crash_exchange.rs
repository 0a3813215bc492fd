use std::net::SocketAddr;

use laburnumdeal_policy::steer::{CrashReport, CrashReports};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Position in the crash reports of a control instance, up to which another instance has them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashPosition {
    /// Random number of the start of the control instance.
    pub start: u64,
    /// Revision of its reports.
    pub revision: u64,
}

/// Tracks what an instance and the control instance that it polls have told each other of crashes,
/// so that each report is sent once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrashExchange {
    peer: Option<Peer>,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    position: CrashPosition,
    /// Revision of the own reports that it has.
    told: u64,
}

impl CrashExchange {
    /// Returns what a poll of a control instance contains: the position up to which its reports
    /// are known here, and the reports that it may not know.
    pub fn outgoing(
        &self,
        address: SocketAddr,
        crashes: &CrashReports,
    ) -> (CrashPosition, Vec<CrashReport>) {
        let peer = self.peer.filter(|peer| peer.address == address);
        let told = peer.map_or(0, |peer| peer.told);
        let position = peer.map_or(CrashPosition::default(), |peer| peer.position);
        (position, crashes.changed_after(told, Instant::now()))
    }

    /// Records the reply to a poll that contained all own reports up to `revision`. A control
    /// instance that has started again gets all of them with the next poll.
    pub fn record_reply(&mut self, address: SocketAddr, revision: u64, position: CrashPosition) {
        let peer = self.peer.filter(|peer| peer.address == address);
        let has_restarted = peer.is_some_and(|peer| peer.position.start != position.start);
        self.peer = Some(Peer {
            address,
            position,
            told: if has_restarted { 0 } else { revision },
        });
    }
}
