use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slog::info;
use tokio::time::{Duration, Instant, sleep};

use crate::core::Core;
use crate::proposals::MembershipChange;
use crate::volatile_state::VolatileState;
use crate::{
    AutoMembershipSettings, ControlReply, ControlRequest, Disk, Member, PeerLink, ReplicaIdentity,
    Role,
};

/// Maximum number of committed entries that an observer may lack when it becomes a voter.
const MAX_LAG_ENTRIES: u64 = 4;

/// Number of join intervals without a request after which a candidate is no longer considered.
const MAX_MISSED_JOINS: u32 = 4;

/// Replica that asks to join the cluster as a member. It does not stand for election; that is
/// [`Role::Candidate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the instance that the replica runs on.
    pub instance: String,
    /// Region of the instance.
    pub region: String,
    /// Identity of the replica.
    pub identity: ReplicaIdentity,
}

/// Latest join request of each instance, with the time of its arrival.
#[derive(Debug, Default)]
pub(crate) struct JoinCandidates {
    by_instance: BTreeMap<String, (Candidate, Instant)>,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Asks the known replicas in turn to join the cluster, unless this replica is a member with a
    /// live leader.
    pub async fn run_joining(self: Arc<Self>) {
        let Some(settings) = self.settings.auto_membership else {
            return;
        };
        let mut next = 0;
        loop {
            sleep(Duration::from_millis(settings.join_interval_ms)).await;
            if self.has_live_leader() {
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

    /// Registers a join request, and replies with the leader and the members.
    pub fn on_join(&self, candidate: Candidate) -> ControlReply {
        let instance = candidate.instance.clone();
        let mut candidates = self
            .join_candidates
            .lock()
            .expect("the lock is not poisoned");
        candidates
            .by_instance
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

    /// Returns the next change that brings the members closer to the settings, if any is needed.
    pub fn next_membership_change(&self, volatile: &VolatileState) -> Option<MembershipChange> {
        let settings = self.settings.auto_membership?;
        self.promote_observer(volatile)
            .or_else(|| self.replace_silent_voter(volatile, settings))
            .or_else(|| self.remove_silent_observer(volatile, settings))
            .or_else(|| self.add_observer(volatile, settings))
    }

    /// Returns whether this replica leads, or is a member that heard from its leader within the
    /// last election timeout.
    pub fn has_live_leader(&self) -> bool {
        let volatile = self.volatile();
        let is_recent = volatile.last_leader_contact.elapsed() < self.settings.election_timeout();
        volatile.role == Role::Leader
            || (volatile.members.find(self.identity).is_some()
                && is_recent
                && volatile.leader.is_some())
    }

    fn known_replicas(&self) -> Vec<String> {
        let candidates = self
            .join_candidates
            .lock()
            .expect("the lock is not poisoned");
        let joining = candidates.by_instance.keys().cloned();
        let volatile = self.volatile();
        let members = volatile.members.list.iter().map(|m| m.instance.clone());
        let seeds = self.settings.initial_members.iter();
        let seeds = seeds.map(|seed| self.settings.names.name(*seed));
        let mut known: Vec<String> = seeds.chain(members).chain(joining).collect();
        known.sort();
        known.dedup();
        known.retain(|name| *name != self.name);
        known
    }

    async fn ask_to_join(&self, to: &str) {
        let Some(id) = self.instance_id(to) else {
            return;
        };
        let candidate = Candidate {
            instance: self.name.clone(),
            region: self.settings.region.clone(),
            identity: self.identity,
        };
        let request = ControlRequest::Join(candidate);
        let within = self.settings.lease_duration();
        let reply = self.call(id, request.clone(), within).await;
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
        if let Some(id) = self.instance_id(&leader)
            && self.call(id, request, within).await.is_ok()
        {
            info!(self.log, "asked the leader to join the cluster"; "leader" => leader);
        }
    }

    /// Returns the change that makes an observer a voter if there are fewer than the settings say.
    pub fn promote_observer(&self, volatile: &VolatileState) -> Option<MembershipChange> {
        let settings = self.settings.auto_membership?;
        if volatile.members.voters().count() >= settings.target_voters {
            return None;
        }
        let chosen = self.observer_to_promote(volatile)?;
        Some(MembershipChange::PromoteObserver(chosen.identity))
    }

    fn observer_to_promote<'a>(&self, volatile: &'a VolatileState) -> Option<&'a Member> {
        let caught_up = volatile
            .members
            .observers()
            .filter(|observer| self.has_caught_up(volatile, observer));
        caught_up.min_by_key(|observer| voters_in(volatile, &observer.region))
    }

    fn replace_silent_voter(
        &self,
        volatile: &VolatileState,
        settings: AutoMembershipSettings,
    ) -> Option<MembershipChange> {
        let successor = self.observer_to_promote(volatile)?.identity;
        let timeout = Duration::from_millis(settings.voter_timeout_ms);
        let silent = volatile
            .members
            .voters()
            .find(|voter| self.is_silent(volatile, voter, timeout))?;
        self.check_majority_without(volatile, silent.identity)
            .ok()?;
        Some(MembershipChange::RetireVoter {
            voter: silent.identity,
            successor: Some(successor),
        })
    }

    /// Returns the change that removes a voter when there are more than the settings say, as after a
    /// leader that ended between the steps of a change. A voter that lost its disk goes first, then
    /// a silent one, then one of the region with the most voters.
    pub fn retire_surplus_voter(&self, volatile: &VolatileState) -> Option<MembershipChange> {
        let settings = self.settings.auto_membership?;
        if volatile.members.voters().count() <= settings.target_voters {
            return None;
        }
        let timeout = Duration::from_millis(settings.voter_timeout_ms);
        let has_lost_disk = |voter: &Member| {
            let progress = volatile.progress.get(&voter.identity);
            progress.is_some_and(|progress| progress.blank_identity.is_some())
        };
        let others = || {
            let voters = volatile.members.voters();
            voters.filter(|voter| voter.identity != self.identity)
        };
        let chosen = others()
            .find(|voter| has_lost_disk(voter))
            .or_else(|| others().find(|voter| self.is_silent(volatile, voter, timeout)))
            .or_else(|| others().max_by_key(|voter| voters_in(volatile, &voter.region)))?;
        self.check_majority_without(volatile, chosen.identity)
            .ok()?;
        Some(MembershipChange::RetireVoter {
            voter: chosen.identity,
            successor: None,
        })
    }

    fn remove_silent_observer(
        &self,
        volatile: &VolatileState,
        settings: AutoMembershipSettings,
    ) -> Option<MembershipChange> {
        let timeout = Duration::from_millis(settings.observer_timeout_ms);
        let silent = volatile
            .members
            .observers()
            .find(|observer| self.is_silent(volatile, observer, timeout))?;
        Some(MembershipChange::RemoveFollower(silent.identity))
    }

    fn add_observer(
        &self,
        volatile: &VolatileState,
        settings: AutoMembershipSettings,
    ) -> Option<MembershipChange> {
        let within = Duration::from_millis(settings.join_interval_ms) * MAX_MISSED_JOINS;
        let candidates = self
            .join_candidates
            .lock()
            .expect("the lock is not poisoned");
        let recent = candidates.by_instance.values().filter(|(candidate, at)| {
            at.elapsed() < within && volatile.members.find(candidate.identity).is_none()
        });
        let mut eligible = recent.filter(|(candidate, _)| {
            let mut voters = volatile.members.voters();
            voters.all(|voter| voter.instance != candidate.instance)
        });
        let (candidate, _) = eligible.next()?;
        Some(MembershipChange::AddObserver(candidate.clone()))
    }

    fn has_caught_up(&self, volatile: &VolatileState, member: &Member) -> bool {
        let Some(progress) = volatile.progress.get(&member.identity) else {
            return false;
        };
        let lag = volatile.commit_index.saturating_sub(progress.matched_index);
        lag <= MAX_LAG_ENTRIES
            && !progress.storage_full
            && progress.responded_within(self.settings.election_timeout())
    }

    /// Returns the change that removes a learner which no longer responds, so that another replica
    /// can take over the replacement. A learner stays while the members would tolerate too few lost
    /// disks without it.
    pub fn remove_silent_learner(
        &self,
        volatile: &VolatileState,
        learner: ReplicaIdentity,
    ) -> Option<MembershipChange> {
        let timeout = Duration::from_millis(self.settings.auto_membership?.voter_timeout_ms);
        let member = volatile.members.find(learner)?;
        let removal = MembershipChange::RemoveFollower(learner);
        let may_leave = self.is_silent(volatile, member, timeout)
            && self.members_after(volatile, &removal).is_some();
        may_leave.then_some(removal)
    }

    /// Returns whether a member has not responded for `timeout`. A leader must itself have led and
    /// sent to it for that long, since it has heard from nobody when it starts.
    fn is_silent(&self, volatile: &VolatileState, member: &Member, timeout: Duration) -> bool {
        let progress = volatile.progress.get(&member.identity);
        member.identity != self.identity
            && volatile.leading_since.elapsed() > timeout
            && progress.is_some_and(|progress| progress.is_silent(timeout))
    }
}

fn voters_in(volatile: &VolatileState, region: &str) -> usize {
    let voters = volatile.members.voters();
    voters.filter(|voter| voter.region == region).count()
}
