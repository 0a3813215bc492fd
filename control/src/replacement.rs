use std::sync::Arc;

use laburnumdeal_model::InstanceId;
use slog::warn;
use tokio::sync::oneshot;
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::core::Core;
use crate::proposals::{MembersChange, Proposal};
use crate::volatile::Volatile;
use crate::{
    ControlReply, ControlRequest, Disk, MemberRole, PeerLink, ReplaceError, ReplicaIdentity, Role,
};

/// Longest time that a replacement is waited for.
const REPLACE_MS: u64 = 60_000;
/// Entries that a learner may lack when it takes the place of a voter.
const CAUGHT_UP_ENTRIES: u64 = 16;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Brings replacements forward while this replica leads: learners that have caught up become
    /// voters, and blank replicas in the place of voters become learners.
    pub async fn run_replacements(self: Arc<Self>) {
        loop {
            sleep(self.settings.heartbeat()).await;
            let step = self.next_step();
            if let Some(change) = step {
                self.propose_step(change).await;
            }
        }
    }

    fn next_step(&self) -> Option<MembersChange> {
        let volatile = self.volatile();
        if !self.has_lease(&volatile) {
            return None;
        }
        match volatile.members.learner() {
            Some((learner, replaces)) => self.advance(&volatile, learner.identity, replaces),
            None => self.find_blank(&volatile).or_else(|| self.grow(&volatile)),
        }
    }

    fn advance(
        &self,
        volatile: &Volatile,
        learner: ReplicaIdentity,
        replaces: ReplicaIdentity,
    ) -> Option<MembersChange> {
        let progress = volatile.progress.get(&learner)?;
        if let Some(identity) = progress.blank_identity {
            let member = volatile.members.find(learner)?;
            return Some(MembersChange::AddLearner {
                instance: member.instance.clone(),
                region: member.region.clone(),
                identity,
                replaces,
            });
        }
        let lacks = volatile.commit_index.saturating_sub(progress.matched_index);
        if lacks > CAUGHT_UP_ENTRIES || !progress.answered_within(self.settings.election()) {
            return self.drop_learner(volatile, learner);
        }
        if !volatile.members.is_voter(replaces) {
            return Some(MembersChange::Promote(learner));
        }
        if replaces == self.identity || self.endangered(volatile, replaces).is_err() {
            return None;
        }
        Some(MembersChange::RemoveVoter(replaces))
    }

    fn find_blank(&self, volatile: &Volatile) -> Option<MembersChange> {
        volatile.members.voters().find_map(|member| {
            let identity = volatile.progress.get(&member.identity)?.blank_identity?;
            self.endangered(volatile, member.identity).ok()?;
            Some(MembersChange::AddLearner {
                instance: member.instance.clone(),
                region: member.region.clone(),
                identity,
                replaces: member.identity,
            })
        })
    }

    /// Checks that a majority of all voters answers without `old`.
    pub(crate) fn endangered(
        &self,
        volatile: &Volatile,
        old: ReplicaIdentity,
    ) -> Result<(), ReplaceError> {
        let others = volatile
            .members
            .voters()
            .filter(|member| member.identity != old);
        let live = others.filter(|member| {
            let progress = volatile.progress.get(&member.identity);
            member.identity == self.identity
                || progress.is_some_and(|p| p.answered_within(self.settings.election()))
        });
        let (live, needed) = (live.count(), volatile.members.majority());
        match live >= needed {
            true => Ok(()),
            false => Err(ReplaceError::Endangered { live, needed }),
        }
    }

    async fn propose_step(&self, change: MembersChange) -> bool {
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal::Members(change, reply);
        if self.proposals.send(proposal).await.is_err() {
            return false;
        }
        answer.await.unwrap_or(false)
    }

    /// Replaces a voter on the leader, and returns once the new one votes.
    pub async fn replace_here(
        self: &Arc<Self>,
        old: InstanceId,
        new: InstanceId,
    ) -> Result<(), ReplaceError> {
        let replaces = self.check_replacement(old, new)?;
        if replaces == self.identity {
            self.hand_over().await;
            return Err(ReplaceError::NoLeader);
        }
        let (identity, region) = self.identity_of(new).await?;
        let instance = self.settings.names.name(new);
        let added = MembersChange::AddLearner {
            instance: instance.clone(),
            region,
            identity,
            replaces,
        };
        if !self.propose_step(added).await {
            return Err(ReplaceError::Unknown {
                reason: "the learner was not added by this leader".to_owned(),
            });
        }
        self.wait_for_voter(&instance, identity).await
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
        self.endangered(&volatile, voter.identity)?;
        Ok(voter.identity)
    }

    async fn identity_of(
        &self,
        instance: InstanceId,
    ) -> Result<(ReplicaIdentity, String), ReplaceError> {
        let name = self.settings.names.name(instance);
        let within = self.settings.election();
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

    async fn wait_for_voter(
        &self,
        instance: &str,
        identity: ReplicaIdentity,
    ) -> Result<(), ReplaceError> {
        let mut changed = self.changed.subscribe();
        let deadline = Instant::now() + Duration::from_millis(REPLACE_MS);
        loop {
            {
                let volatile = self.volatile();
                let committed = &volatile.state.members;
                let member = committed.find(identity);
                if member.is_some_and(|member| member.role == MemberRole::Voter) {
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
            reason: format!("instance {instance:?} does not vote yet"),
        })
    }

    /// Stops leading and lets the voter with the longest log stand for election. A leader without
    /// a voter that answers and has room goes on leading.
    pub async fn hand_over(&self) {
        let (heir, header) = {
            let mut volatile = self.volatile();
            if volatile.role != Role::Leader {
                return;
            }
            let Some(heir) = self.heir(&volatile) else {
                return;
            };
            let header = self.header(&volatile, heir.1);
            volatile.step_down();
            (heir.0, header)
        };
        self.notify();
        let Some(to) = self.instance(&heir) else {
            return;
        };
        let request = ControlRequest::TakeOver { header };
        if let Err(error) = self.call(to, request, self.settings.election()).await {
            warn!(self.log, "leadership could not be handed over"; "to" => heir, "error" => error);
        }
    }

    fn heir(&self, volatile: &Volatile) -> Option<(String, ReplicaIdentity)> {
        let others = volatile.members.voters().filter_map(|member| {
            let progress = volatile.progress.get(&member.identity)?;
            let able = !progress.storage_full && progress.answered_within(self.settings.election());
            able.then_some((progress.matched_index, member))
        });
        let heir = others.max_by_key(|(matched_index, _)| *matched_index);
        heir.map(|(_, member)| (member.instance.clone(), member.identity))
    }
}
