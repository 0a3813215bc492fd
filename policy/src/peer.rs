use std::time::Duration;

use laburnumdeal_model::BootId;
use tokio::time::Instant;

use crate::{Heartbeat, Liveness, MemberState, MembershipSettings, PeerState, PlatformState};

/// Maximum number of earlier runs of a peer that are remembered to recognize their late heartbeats.
const MAX_EARLIER_RUNS: usize = 8;

/// A peer with its heartbeats and its entry in the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    last_heard: Option<ReceivedHeartbeat>,
    /// Last heartbeat of each earlier run, the latest run last.
    earlier_runs: Vec<Heartbeat>,
    is_unreachable: bool,
    listed: Option<PlatformState>,
    /// Run that the platform's state "leaving" refers to.
    leaving_boot: Option<BootId>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedHeartbeat {
    heartbeat: Heartbeat,
    at: Instant,
}

impl Peer {
    /// Records a heartbeat and returns whether it is new.
    ///
    /// `now` lies in the past for a heartbeat that another instance received and forwarded. Such a
    /// heartbeat is ignored if it is from another run and older than the last one of this run. A
    /// heartbeat of an earlier run is late and ignored. If that run continues to send while the run
    /// that replaced it has been silent for the timeout, their order was wrong and is corrected.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
        timeout: Duration,
    ) -> bool {
        if let Some(last_heard) = self.last_heard {
            let is_same = last_heard.heartbeat.boot == heartbeat.boot;
            if is_same && heartbeat.sequence <= last_heard.heartbeat.sequence {
                return false;
            }
            let is_silent = now.saturating_duration_since(last_heard.at) >= timeout;
            let is_older = now < last_heard.at;
            if !is_same && (is_older || !self.replaces(heartbeat, is_silent)) {
                return false;
            }
            if !is_same {
                self.remember_run(last_heard.heartbeat);
            }
        }
        let at = self
            .last_heard
            .map_or(now, |last_heard| last_heard.at.max(now));
        self.last_heard = Some(ReceivedHeartbeat { heartbeat, at });
        self.is_unreachable = false;
        true
    }

    /// Records that the peer could not be reached.
    pub fn record_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Applies the peer's entry of the platform's list, or `None` when the list doesn't contain the
    /// peer.
    pub fn apply_platform_entry(&mut self, entry: Option<PlatformState>) {
        let next = match (entry, self.listed) {
            (None, Some(_)) => Some(PlatformState::Gone),
            (entry, _) => entry,
        };
        let is_leaving = next == Some(PlatformState::Leaving);
        if !is_leaving {
            self.leaving_boot = None;
        } else if self.listed != next {
            self.leaving_boot = self.boot();
        }
        self.listed = next;
    }

    /// Returns the state at `now`. Missing heartbeats count from `since` at the earliest.
    pub fn state(
        &self,
        settings: &MembershipSettings,
        since: Instant,
        now: Instant,
    ) -> MemberState {
        if let Some(state) = self.liveness(settings, since).state(now) {
            return state;
        }
        let is_silent = now >= self.out_of_reach_from(settings, since);
        let Some(last_heard) = self.last_heard else {
            return match is_silent {
                true => MemberState::OutOfReach,
                false => MemberState::Unknown,
            };
        };
        let is_gone = self.is_gone() && now >= self.suspect_from(settings, since);
        match self.is_leaving(last_heard.heartbeat) {
            true if is_silent || is_gone => MemberState::Left,
            true => MemberState::Leaving,
            false if is_gone => MemberState::Left,
            false => MemberState::OutOfReach,
        }
    }

    /// Returns until when the peer counts as accepting requests if it sends no further heartbeat.
    pub fn liveness(&self, settings: &MembershipSettings, since: Instant) -> Liveness {
        match self.last_heard {
            Some(last_heard) if !self.is_leaving(last_heard.heartbeat) => {
                let live_until = self.suspect_from(settings, since);
                let out_of_reach_from = self.out_of_reach_from(settings, since);
                let suspect_until = if self.is_gone() {
                    live_until
                } else {
                    out_of_reach_from
                };
                Liveness {
                    live_until: Some(live_until),
                    suspect_until: Some(suspect_until),
                }
            }
            _ => Liveness::default(),
        }
    }

    /// Returns the run of the last heartbeat.
    pub fn boot(&self) -> Option<BootId> {
        self.last_heard.map(|last_heard| last_heard.heartbeat.boot)
    }

    /// Returns the last heartbeat.
    pub fn last_heartbeat(&self) -> Option<Heartbeat> {
        self.last_heard.map(|last_heard| last_heard.heartbeat)
    }

    /// Returns the time of the last heartbeat.
    pub fn last_heard_at(&self) -> Option<Instant> {
        self.last_heard.map(|last_heard| last_heard.at)
    }

    fn is_leaving(&self, heartbeat: Heartbeat) -> bool {
        heartbeat.state == PeerState::Leaving || self.leaving_boot == Some(heartbeat.boot)
    }

    fn is_gone(&self) -> bool {
        self.listed == Some(PlatformState::Gone)
    }

    fn silence_start(&self, since: Instant) -> Instant {
        self.last_heard
            .map_or(since, |last_heard| last_heard.at.max(since))
    }

    fn suspect_from(&self, settings: &MembershipSettings, since: Instant) -> Instant {
        let start = self.silence_start(since);
        match self.is_unreachable {
            true => start,
            false => start + Duration::from_millis(settings.suspect_after_ms),
        }
    }

    fn out_of_reach_from(&self, settings: &MembershipSettings, since: Instant) -> Instant {
        self.silence_start(since) + Duration::from_millis(settings.peer_timeout_ms)
    }

    fn replaces(&mut self, heartbeat: Heartbeat, is_silent: bool) -> bool {
        let is_same_run = |other: &Heartbeat| other.boot == heartbeat.boot;
        let Some(position) = self.earlier_runs.iter().position(is_same_run) else {
            return true;
        };
        let is_new = heartbeat.sequence > self.earlier_runs[position].sequence;
        if is_silent && is_new {
            self.earlier_runs.remove(position);
        }
        is_silent && is_new
    }

    fn remember_run(&mut self, heartbeat: Heartbeat) {
        if self.earlier_runs.len() == MAX_EARLIER_RUNS {
            self.earlier_runs.remove(0);
        }
        self.earlier_runs.push(heartbeat);
    }
}
