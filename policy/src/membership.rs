use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_model::{BootId, InstanceId, Topology, ZoneId};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::{Heartbeat, Liveness, MemberState, MembershipSettings, Peer, PeerState, PlatformState};

/// States of the entry instances as this instance sees them, derived from their heartbeats and the
/// platform's list.
///
/// Only heartbeats make a peer live. The list can only mark a peer as leaving, or as gone once its
/// heartbeats stop.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use laburnumdeal_model::{BootId, InstanceId, Topology, embedded_topology};
/// use laburnumdeal_policy::{MemberState, Membership, MembershipSettings};
/// use tokio::time::Instant;
///
/// let topology = Arc::new(Topology::build(&embedded_topology())?);
/// let settings = MembershipSettings::new(1_000);
/// let membership = Membership::new(InstanceId(0), BootId(1), topology, settings);
/// let now = Instant::now();
/// assert_eq!(membership.state(InstanceId(0), now), MemberState::Live);
/// assert_eq!(membership.state(InstanceId(1), now), MemberState::Unknown);
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    me: InstanceId,
    boot: BootId,
    topology: Arc<Topology>,
    /// Instances of each zone, in key order.
    zones: Vec<Vec<InstanceId>>,
    settings: MembershipSettings,
    view: Mutex<View>,
    generation: watch::Sender<u64>,
}

#[derive(Debug)]
struct View {
    is_leaving: bool,
    started_at: Instant,
    last_tick: Option<Instant>,
    resumed_at: Option<Instant>,
    peers: Vec<Peer>,
    /// Liveness of each peer, stored apart from `peers` so that lookups touch little memory.
    liveness: Vec<Liveness>,
    /// State of each peer at the last notification of the watchers.
    notified_states: Vec<MemberState>,
}

impl Membership {
    /// Creates a membership without any heartbeats so far.
    pub fn new(
        me: InstanceId,
        boot: BootId,
        topology: Arc<Topology>,
        settings: MembershipSettings,
    ) -> Self {
        let count = topology.instances.len();
        let mut notified_states = vec![MemberState::Unknown; count];
        notified_states[me.index()] = MemberState::Live;
        let view = View {
            is_leaving: false,
            started_at: Instant::now(),
            last_tick: None,
            resumed_at: None,
            peers: vec![Peer::default(); count],
            liveness: vec![Liveness::default(); count],
            notified_states,
        };
        let inner = Inner {
            me,
            boot,
            zones: topology
                .zone_ids()
                .map(|zone| topology.instances_in(zone).collect())
                .collect(),
            topology,
            settings,
            view: Mutex::new(view),
            generation: watch::Sender::new(0),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the ID of this instance.
    pub fn me(&self) -> InstanceId {
        self.inner.me
    }

    /// Returns the topology that contains the instances.
    pub fn topology(&self) -> &Topology {
        &self.inner.topology
    }

    /// Records a heartbeat of a peer. Returns false for one that is late, duplicated or from an
    /// earlier run of the peer.
    pub fn record_heartbeat(&self, peer: InstanceId, heartbeat: Heartbeat, now: Instant) -> bool {
        if peer == self.inner.me {
            return false;
        }
        let timeout = Duration::from_millis(self.inner.settings.peer_timeout_ms);
        let mut view = self.lock();
        let is_accepted = view.peers[peer.index()].record_heartbeat(heartbeat, now, timeout);
        self.refresh(&mut view, [peer], now);
        is_accepted
    }

    /// Records that a peer could not be reached. It is suspect until its next heartbeat.
    pub fn record_unreachable(&self, peer: InstanceId, now: Instant) {
        let mut view = self.lock();
        view.peers[peer.index()].record_unreachable();
        self.refresh(&mut view, [peer], now);
    }

    /// Applies a reading of the platform's list. A peer that was on an earlier list and is not on
    /// this one counts as gone.
    pub fn apply_platform_list(&self, list: &[(InstanceId, PlatformState)], now: Instant) {
        let mut view = self.lock();
        let mut entries = vec![None; view.peers.len()];
        for (id, state) in list {
            entries[id.index()] = Some(*state);
        }
        for (peer, entry) in view.peers.iter_mut().zip(entries) {
            peer.apply_platform_entry(entry);
        }
        self.refresh(&mut view, self.inner.topology.instance_ids(), now);
    }

    /// Checks for a freeze of this process; call it at every heartbeat interval. Returns true when
    /// the process was frozen since the last call. The timeouts of its peers then start again at
    /// `now`.
    pub fn tick(&self, now: Instant) -> bool {
        let mut view = self.lock();
        let was_frozen = self.is_frozen(&view, now);
        if was_frozen {
            view.resumed_at = Some(now);
        }
        view.last_tick = Some(now);
        self.refresh(&mut view, self.inner.topology.instance_ids(), now);
        was_frozen
    }

    /// Marks this instance as leaving.
    pub fn leave(&self) {
        let mut view = self.lock();
        view.is_leaving = true;
        self.inner
            .generation
            .send_modify(|generation| *generation += 1);
    }

    /// Returns the state that this instance reports about itself.
    pub fn own_state(&self) -> PeerState {
        match self.lock().is_leaving {
            true => PeerState::Leaving,
            false => PeerState::Live,
        }
    }

    /// Returns the state of an instance.
    pub fn state(&self, peer: InstanceId, now: Instant) -> MemberState {
        let view = self.lock();
        self.state_in(&view, peer, now)
    }

    /// Returns the run of an instance by its last heartbeat.
    pub fn boot(&self, peer: InstanceId) -> Option<BootId> {
        match peer == self.inner.me {
            true => Some(self.inner.boot),
            false => self.lock().peers[peer.index()].boot(),
        }
    }

    /// Returns the last heartbeat of an instance.
    pub fn last_heartbeat(&self, peer: InstanceId) -> Option<Heartbeat> {
        self.lock().peers[peer.index()].last_heartbeat()
    }

    /// Returns the time of a peer's last heartbeat.
    pub fn last_heard_at(&self, peer: InstanceId) -> Option<Instant> {
        self.lock().peers[peer.index()].last_heard_at()
    }

    /// Returns the live and suspect instances of a zone in key order, including this one.
    pub fn live_in(&self, zone: ZoneId, now: Instant) -> Vec<InstanceId> {
        let mut live = Vec::new();
        self.for_each_live_in(zone, now, |id, _| live.push(id));
        live
    }

    /// Calls `visit` with every live and suspect instance of a zone, in key order.
    pub fn for_each_live_in(
        &self,
        zone: ZoneId,
        now: Instant,
        mut visit: impl FnMut(InstanceId, MemberState),
    ) {
        let view = self.lock();
        let as_of = self.as_of(&view, now);
        for id in &self.inner.zones[zone.index()] {
            let is_this_instance = *id == self.inner.me && !view.is_leaving;
            match view.liveness[id.index()].state(as_of) {
                _ if is_this_instance => visit(*id, MemberState::Live),
                Some(state) => visit(*id, state),
                None => {}
            }
        }
    }

    /// Returns whether any instance of a zone is live or suspect.
    pub fn is_reachable(&self, zone: ZoneId, now: Instant) -> bool {
        let mut is_reachable = false;
        self.for_each_live_in(zone, now, |_, _| is_reachable = true);
        is_reachable
    }

    /// Returns the instances of a zone that own its upstreams: those that accept new requests and,
    /// until this instance has run for the peer timeout, those without a heartbeat so far.
    pub fn owners_in(&self, zone: ZoneId, now: Instant) -> Vec<InstanceId> {
        let view = self.lock();
        let in_state = |matches_state: fn(MemberState) -> bool| -> Vec<InstanceId> {
            let members = self.inner.zones[zone.index()].iter().copied();
            members
                .filter(|id| matches_state(self.state_in(&view, *id, now)))
                .collect()
        };
        let owners = in_state(|state| state.takes_work() || state == MemberState::Unknown);
        // If every member is leaving, they keep the ownership until they have stopped.
        match owners.is_empty() {
            true => in_state(|state| state == MemberState::Leaving),
            false => owners,
        }
    }

    /// Returns a receiver that is notified of every change. Its value is the generation.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.inner.generation.subscribe()
    }

    /// Returns the generation, a number that increases with every change.
    pub fn generation(&self) -> u64 {
        *self.inner.generation.borrow()
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        self.inner.view.lock().expect("no holder panics")
    }

    fn is_frozen(&self, view: &View, now: Instant) -> bool {
        let threshold = Duration::from_millis(self.inner.settings.freeze_threshold_ms);
        let gap = view
            .last_tick
            .map(|last_tick| now.saturating_duration_since(last_tick));
        gap.is_some_and(|gap| gap > threshold)
    }

    /// Returns the time up to which missing heartbeats count. It is the last tick if this process
    /// has been frozen since then.
    fn as_of(&self, view: &View, now: Instant) -> Instant {
        match view.last_tick {
            Some(last_tick) if self.is_frozen(view, now) => last_tick,
            _ => now,
        }
    }

    fn state_in(&self, view: &View, peer: InstanceId, now: Instant) -> MemberState {
        if peer == self.inner.me {
            return match view.is_leaving {
                true => MemberState::Leaving,
                false => MemberState::Live,
            };
        }
        let (as_of, since) = (self.as_of(view, now), view.silent_since());
        view.peers[peer.index()].state(&self.inner.settings, since, as_of)
    }

    /// Updates what is derived from the peers and notifies watchers of changed states.
    fn refresh(&self, view: &mut View, peers: impl IntoIterator<Item = InstanceId>, now: Instant) {
        let now = view.last_tick.map_or(now, |last_tick| last_tick.max(now));
        let since = view.silent_since();
        let mut has_changed = false;
        for peer in peers {
            let position = peer.index();
            view.liveness[position] = view.peers[position].liveness(&self.inner.settings, since);
            let state = self.state_in(view, peer, now);
            has_changed |= std::mem::replace(&mut view.notified_states[position], state) != state;
        }
        if has_changed {
            self.inner
                .generation
                .send_modify(|generation| *generation += 1);
        }
    }
}

impl View {
    /// Earliest time from which missing heartbeats of peers count.
    fn silent_since(&self) -> Instant {
        self.resumed_at.unwrap_or(self.started_at)
    }
}
