use std::sync::Arc;

use laburnumdeal_model::InstanceId;
use slog::warn;
use tokio::sync::oneshot;
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::core::Core;
use crate::proposals::{MembershipChange, Proposal};
use crate::volatile_state::VolatileState;
use crate::{ControlReply, ControlRequest, Disk, PeerLink, ReplaceError, ReplicaIdentity, Role};

/// Maximum time to wait for a replacement to complete.
const REPLACE_TIMEOUT_MS: u64 = 60_000;
/// Maximum number of committed entries that a learner may lack when it replaces a voter.
const MAX_LAG_ENTRIES: u64 = 16;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Proposes the next change of the members, one at a time, while this replica leads: learners
    /// that have caught up become voters, and blank replicas that answer for a voter become
    /// learners. When neither is needed, members join and leave as [`AutoMembershipSettings`] say.
    ///
    /// [`AutoMembershipSettings`]: crate::AutoMembershipSettings
    pub async fn run_replacements(self: Arc<Self>) {
        loop {
            sleep(self.settings.heartbeat_interval()).await;
            if self.leads_as_replaced_voter() {
                self.transfer_leadership().await;
            }
            while let Some(change) = self.next_change() {
                if !self.submit_membership_change(change).await {
                    break;
                }
            }
        }
    }

    fn next_change(&self) -> Option<MembershipChange> {
        let volatile = self.volatile();
        if !self.has_lease(&volatile) {
            return None;
        }
        match volatile.members.learner() {
            Some((learner, replaces)) => {
                self.advance_replacement(&volatile, learner.identity, replaces)
            }
            None => self
                .retire_surplus_voter(&volatile)
                .or_else(|| self.replace_blank_voter(&volatile))
                .or_else(|| self.next_membership_change(&volatile)),
        }
    }

    /// Returns the next change of a replacement in progress, after the learner has joined. On the same
    /// instance it stands for a lost disk: the old voter is removed, which costs nothing, and then
    /// the learner is promoted. On another one the old voter may still be there, and is removed last.
    fn advance_replacement(
        &self,
        volatile: &VolatileState,
        learner: ReplicaIdentity,
        replaces: ReplicaIdentity,
    ) -> Option<MembershipChange> {
        if learner == replaces {
            return self.remove_replaced_voter(volatile, replaces);
        }
        let progress = volatile.progress.get(&learner)?;
        if let Some(identity) = progress.blank_identity {
            let member = volatile.members.find(learner)?;
            return Some(MembershipChange::AddLearner {
                instance: member.instance.clone(),
                region: member.region.clone(),
                identity,
                replaces,
            });
        }
        let lag = volatile.commit_index.saturating_sub(progress.matched_index);
        if lag > MAX_LAG_ENTRIES || !progress.responded_within(self.settings.election_timeout()) {
            return self
                .remove_silent_learner(volatile, learner)
                .or_else(|| self.promote_observer(volatile));
        }
        let members = &volatile.members;
        let instance = members.find(learner).map(|member| &member.instance);
        let has_lost_disk = members
            .voters()
            .any(|voter| voter.identity == replaces && Some(&voter.instance) == instance);
        match has_lost_disk {
            true => self.remove_replaced_voter(volatile, replaces),
            false => Some(MembershipChange::Promote(learner)),
        }
    }

    fn remove_replaced_voter(
        &self,
        volatile: &VolatileState,
        voter: ReplicaIdentity,
    ) -> Option<MembershipChange> {
        if voter == self.identity || self.check_majority_without(volatile, voter).is_err() {
            return None;
        }
        Some(MembershipChange::RemoveVoter(voter))
    }

    /// Returns whether this replica leads and is itself the voter that is removed next.
    fn leads_as_replaced_voter(&self) -> bool {
        let volatile = self.volatile();
        let learner = volatile.members.learner();
        let is_next = learner.is_some_and(|(learner, _)| learner.identity == self.identity);
        is_next && self.has_lease(&volatile)
    }

    /// Starts replacing a voter whose instance answers with a blank replica, as after a lost disk.
    fn replace_blank_voter(&self, volatile: &VolatileState) -> Option<MembershipChange> {
        volatile.members.voters().find_map(|member| {
            let identity = volatile.progress.get(&member.identity)?.blank_identity?;
            self.check_majority_without(volatile, member.identity)
                .ok()?;
            Some(MembershipChange::AddLearner {
                instance: member.instance.clone(),
                region: member.region.clone(),
                identity,
                replaces: member.identity,
            })
        })
    }

    /// Checks that a majority of all voters responds even without `old`.
    pub(crate) fn check_majority_without(
        &self,
        volatile: &VolatileState,
        old: ReplicaIdentity,
    ) -> Result<(), ReplaceError> {
        let others = volatile
            .members
            .voters()
            .filter(|member| member.identity != old);
        let live = others.filter(|member| {
            let progress = volatile.progress.get(&member.identity);
            member.identity == self.identity
                || progress.is_some_and(|p| p.responded_within(self.settings.election_timeout()))
        });
        let (live, needed) = (live.count(), volatile.members.majority());
        match live >= needed {
            true => Ok(()),
            false => Err(ReplaceError::Endangered { live, needed }),
        }
    }

    /// Proposes a change of the members; returns whether it was committed.
    async fn submit_membership_change(&self, change: MembershipChange) -> bool {
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal::Members(change, reply);
        if self.proposals.send(proposal).await.is_err() {
            return false;
        }
        answer.await.unwrap_or(false)
    }

    /// Replaces a voter, as the leader, and waits until the new replica is a voter.
    pub async fn replace_as_leader(
        self: &Arc<Self>,
        old: InstanceId,
        new: InstanceId,
    ) -> Result<(), ReplaceError> {
        let replaces = self.check_replacement(old, new)?;
        if replaces == self.identity {
            self.transfer_leadership().await;
            return Err(ReplaceError::NoLeader);
        }
        let (identity, region) = self.identity_of(new).await?;
        let instance = self.settings.names.name(new);
        let change = MembershipChange::AddLearner {
            instance: instance.clone(),
            region,
            identity,
            replaces,
        };
        if !self.submit_membership_change(change).await {
            return Err(ReplaceError::Unknown {
                reason: "the learner was not added by this leader".to_owned(),
            });
        }
        self.wait_until_replaced(&instance, identity, replaces)
            .await
    }

    fn check_replacement(
        &self,
        old: InstanceId,
        new: InstanceId,
    ) -> Result<ReplicaIdentity, ReplaceError> {
        let names = &self.settings.names;
        let (old, new) = (&names.name(old), &names.name(new));
        let volatile = self.volatile();
        if !self.has_lease(&volatile) {
            return Err(ReplaceError::NoLeader);
        }
        let members = &volatile.members;
        let Some(voter) = members.voters().find(|member| member.instance == *old) else {
            return Err(ReplaceError::NotAVoter {
                instance: old.clone(),
            });
        };
        if old != new && members.voters().any(|member| member.instance == *new) {
            return Err(ReplaceError::AlreadyAVoter {
                instance: new.clone(),
            });
        }
        if let Some((learner, _)) = members.learner() {
            return Err(ReplaceError::UnderWay {
                instance: learner.instance.clone(),
            });
        }
        self.check_majority_without(&volatile, voter.identity)?;
        Ok(voter.identity)
    }

    async fn identity_of(
        &self,
        instance: InstanceId,
    ) -> Result<(ReplicaIdentity, String), ReplaceError> {
        let name = self.settings.names.name(instance);
        let within = self.settings.election_timeout();
        let reply = self.call(instance, ControlRequest::Identify, within).await;
        let Ok(ControlReply::Identity {
            identity, region, ..
        }) = reply
        else {
            return Err(ReplaceError::Unreachable { instance: name });
        };
        match self.volatile().members.find(identity) {
            Some(_) => Err(ReplaceError::AlreadyAVoter { instance: name }),
            None => Ok((identity, region)),
        }
    }

    async fn wait_until_replaced(
        &self,
        instance: &str,
        identity: ReplicaIdentity,
        replaces: ReplicaIdentity,
    ) -> Result<(), ReplaceError> {
        let mut changed = self.change_count.subscribe();
        let deadline = Instant::now() + Duration::from_millis(REPLACE_TIMEOUT_MS);
        loop {
            {
                let volatile = self.volatile();
                let committed = &volatile.state.members;
                if committed.is_voter(identity) && !committed.is_voter(replaces) {
                    return Ok(());
                }
                if volatile.role != Role::Leader {
                    break;
                }
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                break;
            }
        }
        Err(ReplaceError::Unknown {
            reason: format!("instance {instance:?} has not replaced the other one yet"),
        })
    }

    /// Steps down and asks the voter with the longest log to start an election. If no other voter
    /// responds and has disk space, this replica goes on leading.
    pub async fn transfer_leadership(&self) {
        let (target, header) = {
            let mut volatile = self.volatile();
            if volatile.role != Role::Leader {
                return;
            }
            let Some(target) = self.transfer_target(&volatile) else {
                return;
            };
            let header = self.header(&volatile, target.1);
            volatile.step_down();
            (target.0, header)
        };
        self.notify();
        let Some(to) = self.instance_id(&target) else {
            return;
        };
        let request = ControlRequest::TakeOver { header };
        if let Err(error) = self
            .call(to, request, self.settings.election_timeout())
            .await
        {
            warn!(self.log, "cannot transfer leadership"; "to" => target, "error" => error);
        }
    }

    /// Returns the voter to transfer leadership to: the one with the longest log of those that
    /// respond and have disk space.
    fn transfer_target(&self, volatile: &VolatileState) -> Option<(String, ReplicaIdentity)> {
        let others = volatile.members.voters().filter_map(|member| {
            let progress = volatile.progress.get(&member.identity)?;
            let is_eligible = !progress.storage_full
                && progress.responded_within(self.settings.election_timeout());
            is_eligible.then_some((progress.matched_index, member))
        });
        let target = others.max_by_key(|(matched_index, _)| *matched_index);
        target.map(|(_, member)| (member.instance.clone(), member.identity))
    }
}
