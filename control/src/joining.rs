use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slog::info;
use tokio::time::{Duration, Instant, sleep};

use crate::core::Core;
use crate::proposals::MembersChange;
use crate::volatile::Volatile;
use crate::{
    AutoMembershipSettings, ControlReply, ControlRequest, Disk, Member, PeerLink, ReplicaIdentity,
    Role,
};

/// Entries that an observer may lack when it is given a vote.
const CAUGHT_UP_ENTRIES: u64 = 4;

/// Requests to join that may be missed before a candidate counts as gone.
const JOINS_MISSED: u32 = 4;

/// Replica that asks to be taken in as a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the instance that it runs on.
    pub instance: String,
    /// Region that it runs in.
    pub region: String,
    /// Identity of its folder.
    pub identity: ReplicaIdentity,
}

/// Candidates with the time when they last asked, by instance.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    heard: BTreeMap<String, (Candidate, Instant)>,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Asks to be taken in for as long as this replica is no member and hears no leader.
    pub async fn run_joining(self: Arc<Self>) {
        let Some(auto) = self.settings.auto_membership else {
            return;
        };
        let mut next = 0;
        loop {
            sleep(Duration::from_millis(auto.join_interval_ms)).await;
            if self.is_led_member() {
                continue;
            }
            let known = self.known_replicas();
            if known.is_empty() {
                continue;
            }
            next = (next + 1) % known.len();
            self.ask_to_join(&known[next]).await;
        }
    }

    /// Takes a candidate down, and tells it who leads.
    pub fn on_join(&self, candidate: Candidate) -> ControlReply {
        let instance = candidate.instance.clone();
        let mut candidates = self.candidates.lock().expect("no holder panics");
        candidates
            .heard
            .insert(instance, (candidate, Instant::now()));
        drop(candidates);
        let volatile = self.volatile();
        let leader = volatile
            .leader
            .map(|leader| self.settings.names.name(leader));
        let members = volatile.members.list.iter().map(|m| m.instance.clone());
        ControlReply::Joined {
            leader,
            members: members.collect(),
        }
    }

    /// Returns the next step that brings the members closer to what is aimed at.
    pub fn grow(&self, volatile: &Volatile) -> Option<MembersChange> {
        let auto = self.settings.auto_membership?;
        self.promote_observer(volatile, auto)
            .or_else(|| self.retire_voter(volatile, auto))
            .or_else(|| self.drop_observer(volatile, auto))
            .or_else(|| self.add_observer(volatile, auto))
    }

    /// Returns whether this replica is a member that leads or heard its leader of late.
    pub fn is_led_member(&self) -> bool {
        let volatile = self.volatile();
        let fresh = volatile.leader_heard_at.elapsed() < self.settings.election();
        volatile.role == Role::Leader
            || (volatile.members.find(self.identity).is_some()
                && fresh
                && volatile.leader.is_some())
    }

    fn known_replicas(&self) -> Vec<String> {
        let candidates = self.candidates.lock().expect("no holder panics");
        let told = candidates.heard.keys().cloned();
        let volatile = self.volatile();
        let members = volatile.members.list.iter().map(|m| m.instance.clone());
        let seeds = self.settings.initial_members.iter();
        let seeds = seeds.map(|seed| self.settings.names.name(*seed));
        let mut known: Vec<String> = seeds.chain(members).chain(told).collect();
        known.sort();
        known.dedup();
        known.retain(|name| *name != self.name);
        known
    }

    async fn ask_to_join(&self, to: &str) {
        let Some(key) = self.instance(to) else {
            return;
        };
        let candidate = Candidate {
            instance: self.name.clone(),
            region: self.settings.region.clone(),
            identity: self.identity,
        };
        let request = ControlRequest::Join(candidate);
        let within = self.settings.lease();
        let reply = self.call(key, request.clone(), within).await;
        let Ok(ControlReply::Joined {
            leader: Some(leader),
            ..
        }) = reply
        else {
            return;
        };
        if leader == to || leader == self.name {
            return;
        }
        if let Some(key) = self.instance(&leader)
            && self.call(key, request, within).await.is_ok()
        {
            info!(self.log, "asked the leader to be taken in"; "leader" => leader);
        }
    }

    fn promote_observer(
        &self,
        volatile: &Volatile,
        auto: AutoMembershipSettings,
    ) -> Option<MembersChange> {
        if volatile.members.voters().count() >= auto.target_voters {
            return None;
        }
        let ready = volatile
            .members
            .observers()
            .filter(|observer| self.has_caught_up(volatile, observer));
        let chosen = ready.min_by_key(|observer| voters_in(volatile, &observer.region))?;
        Some(MembersChange::PromoteObserver(chosen.identity))
    }

    fn retire_voter(
        &self,
        volatile: &Volatile,
        auto: AutoMembershipSettings,
    ) -> Option<MembersChange> {
        let ready = |observer: &Member| self.has_caught_up(volatile, observer);
        if !volatile.members.observers().any(ready) {
            return None;
        }
        let gone = Duration::from_millis(auto.voter_timeout_ms);
        let silent = volatile
            .members
            .voters()
            .find(|voter| self.is_silent(volatile, voter, gone))?;
        self.endangered(volatile, silent.identity).ok()?;
        Some(MembersChange::RetireVoter(silent.identity))
    }

    fn drop_observer(
        &self,
        volatile: &Volatile,
        auto: AutoMembershipSettings,
    ) -> Option<MembersChange> {
        let gone = Duration::from_millis(auto.observer_timeout_ms);
        let silent = volatile
            .members
            .observers()
            .find(|observer| self.is_silent(volatile, observer, gone))?;
        Some(MembersChange::RemoveFollower(silent.identity))
    }

    fn add_observer(
        &self,
        volatile: &Volatile,
        auto: AutoMembershipSettings,
    ) -> Option<MembersChange> {
        let within = Duration::from_millis(auto.join_interval_ms) * JOINS_MISSED;
        let candidates = self.candidates.lock().expect("no holder panics");
        let fresh = candidates.heard.values().filter(|(candidate, at)| {
            at.elapsed() < within && volatile.members.find(candidate.identity).is_none()
        });
        let mut free = fresh.filter(|(candidate, _)| {
            let mut voters = volatile.members.voters();
            voters.all(|voter| voter.instance != candidate.instance)
        });
        let (candidate, _) = free.next()?;
        Some(MembersChange::AddObserver(candidate.clone()))
    }

    fn has_caught_up(&self, volatile: &Volatile, member: &Member) -> bool {
        let Some(progress) = volatile.progress.get(&member.identity) else {
            return false;
        };
        let lacks = volatile.commit_index.saturating_sub(progress.matched_index);
        lacks <= CAUGHT_UP_ENTRIES
            && !progress.storage_full
            && progress.answered_within(self.settings.election())
    }

    /// Returns the step that drops a learner which is gone, so that others can take its place.
    pub fn drop_learner(
        &self,
        volatile: &Volatile,
        learner: ReplicaIdentity,
    ) -> Option<MembersChange> {
        let gone = Duration::from_millis(self.settings.auto_membership?.voter_timeout_ms);
        let member = volatile.members.find(learner)?;
        self.is_silent(volatile, member, gone)
            .then_some(MembersChange::RemoveFollower(learner))
    }

    /// Returns whether a member has been silent for `gone`, and this replica has led so long.
    fn is_silent(&self, volatile: &Volatile, member: &Member, gone: Duration) -> bool {
        let progress = volatile.progress.get(&member.identity);
        member.identity != self.identity
            && volatile.leading_since.elapsed() > gone
            && !progress.is_some_and(|progress| progress.answered_within(gone))
    }
}

fn voters_in(volatile: &Volatile, region: &str) -> usize {
    let voters = volatile.members.voters();
    voters.filter(|voter| voter.region == region).count()
}
