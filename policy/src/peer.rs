use std::time::Duration;

use laburnumdeal_model::BootId;
use tokio::time::Instant;

use crate::{Heartbeat, Liveness, MemberState, MembershipSettings, PeerState, PlatformState};

/// Earlier runs of a peer that are remembered, so that their late heartbeats are known.
const MAX_RETIRED_BOOTS: usize = 8;

/// One peer: its heartbeats and what the platform's list said of it.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    heard: Option<Heard>,
    /// Last heartbeats of earlier runs, the latest run last.
    retired: Vec<Heartbeat>,
    has_failed: bool,
    listed: Option<PlatformState>,
    /// Run that the platform's word "leaving" is about.
    leaving_boot: Option<BootId>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    heartbeat: Heartbeat,
    at: Instant,
}

impl Peer {
    /// Takes in a heartbeat. Returns whether it is news.
    ///
    /// `now` lies in the past for a heartbeat that another instance heard and passed on; one of
    /// another run that is older than the last of this run is ignored.
    /// A heartbeat of an earlier run is late and ignored, unless that run goes on sending while the
    /// one that replaced it has been silent for the timeout: then their order was mistaken.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
        timeout: Duration,
    ) -> bool {
        if let Some(heard) = self.heard {
            let is_same = heard.heartbeat.boot == heartbeat.boot;
            if is_same && heartbeat.sequence <= heard.heartbeat.sequence {
                return false;
            }
            let is_silent = now.saturating_duration_since(heard.at) >= timeout;
            let is_older = now < heard.at;
            if !is_same && (is_older || !self.replaces(heartbeat, is_silent)) {
                return false;
            }
            if !is_same {
                self.retire(heard.heartbeat);
            }
        }
        let at = self.heard.map_or(now, |heard| heard.at.max(now));
        self.heard = Some(Heard { heartbeat, at });
        self.has_failed = false;
        true
    }

    /// Takes in that the peer could not be reached.
    pub fn record_unreachable(&mut self) {
        self.has_failed = true;
    }

    /// Takes in one reading of the platform's list; `None` when the peer is not on it.
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

    /// Returns the state as of `now`. Silence counts from `since` at the earliest.
    pub fn state(
        &self,
        settings: &MembershipSettings,
        since: Instant,
        now: Instant,
    ) -> MemberState {
        if let Some(state) = self.liveness(settings, since).state(now) {
            return state;
        }
        let is_silent = now >= self.silent_from(settings, since);
        let Some(heard) = self.heard else {
            return match is_silent {
                true => MemberState::OutOfReach,
                false => MemberState::Unknown,
            };
        };
        let is_gone = self.is_gone() && now >= self.suspect_from(settings, since);
        match self.is_leaving(heard.heartbeat) {
            true if is_silent || is_gone => MemberState::Left,
            true => MemberState::Leaving,
            false if is_gone => MemberState::Left,
            false => MemberState::OutOfReach,
        }
    }

    /// Returns how long the peer takes work, if nothing is heard of it meanwhile.
    pub fn liveness(&self, settings: &MembershipSettings, since: Instant) -> Liveness {
        match self.heard {
            Some(heard) if !self.is_leaving(heard.heartbeat) => {
                let live_until = self.suspect_from(settings, since);
                let silent_from = self.silent_from(settings, since);
                let suspect_until = if self.is_gone() {
                    live_until
                } else {
                    silent_from
                };
                Liveness {
                    live_until: Some(live_until),
                    suspect_until: Some(suspect_until),
                }
            }
            _ => Liveness::default(),
        }
    }

    /// Returns the run that was heard last.
    pub fn boot(&self) -> Option<BootId> {
        self.heard.map(|heard| heard.heartbeat.boot)
    }

    /// Returns the heartbeat that was heard last.
    pub fn last_heartbeat(&self) -> Option<Heartbeat> {
        self.heard.map(|heard| heard.heartbeat)
    }

    /// Returns when the peer was last heard.
    pub fn last_heard_at(&self) -> Option<Instant> {
        self.heard.map(|heard| heard.at)
    }

    fn is_leaving(&self, heartbeat: Heartbeat) -> bool {
        heartbeat.state == PeerState::Leaving || self.leaving_boot == Some(heartbeat.boot)
    }

    fn is_gone(&self) -> bool {
        self.listed == Some(PlatformState::Gone)
    }

    fn silence_start(&self, since: Instant) -> Instant {
        self.heard.map_or(since, |heard| heard.at.max(since))
    }

    fn suspect_from(&self, settings: &MembershipSettings, since: Instant) -> Instant {
        let start = self.silence_start(since);
        match self.has_failed {
            true => start,
            false => start + Duration::from_millis(settings.suspect_after_ms),
        }
    }

    fn silent_from(&self, settings: &MembershipSettings, since: Instant) -> Instant {
        self.silence_start(since) + Duration::from_millis(settings.peer_timeout_ms)
    }

    fn replaces(&mut self, heartbeat: Heartbeat, is_silent: bool) -> bool {
        let is_retired = |other: &Heartbeat| other.boot == heartbeat.boot;
        let Some(position) = self.retired.iter().position(is_retired) else {
            return true;
        };
        let is_news = heartbeat.sequence > self.retired[position].sequence;
        if is_silent && is_news {
            self.retired.remove(position);
        }
        is_silent && is_news
    }

    fn retire(&mut self, heartbeat: Heartbeat) {
        if self.retired.len() == MAX_RETIRED_BOOTS {
            self.retired.remove(0);
        }
        self.retired.push(heartbeat);
    }
}
