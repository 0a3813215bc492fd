use serde::{Deserialize, Serialize};

use crate::{ClusterId, ReplicaIdentity};

/// Members of the cluster as of one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Identity of the cluster.
    pub cluster: ClusterId,
    /// All members: voters, observers and learners.
    pub list: Vec<Member>,
}

/// Replica that is a member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance that it runs on. Names are stored since instance ids may change with
    /// the settings.
    pub instance: String,
    /// Region of the instance; empty if unused.
    pub region: String,
    /// Identity of the replica.
    pub identity: ReplicaIdentity,
    /// Role of the member in elections and commits.
    pub role: MemberRole,
}

/// Role of a member in elections and commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes and counts towards majorities.
    Voter,
    /// Receives the log but does not vote.
    Observer,
    /// Receives the log but does not vote until it has caught up and replaces a voter.
    Learner {
        /// Identity of the voter that it replaces.
        replaces: ReplicaIdentity,
    },
}

impl Members {
    /// Returns the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> + '_ {
        self.list.iter().filter(|m| m.role == MemberRole::Voter)
    }

    /// Returns the learner and the voter that it replaces, if a replacement is in progress. Once the
    /// learner votes, the replaced voter is listed in its place, as one that replaces itself.
    pub fn learner(&self) -> Option<(&Member, ReplicaIdentity)> {
        self.list.iter().find_map(|m| match m.role {
            MemberRole::Learner { replaces } => Some((m, replaces)),
            MemberRole::Voter | MemberRole::Observer => None,
        })
    }

    /// Returns the smallest number of voters that form a majority.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_control::{Member, MemberRole, Members, ReplicaIdentity};
    ///
    /// let voter = |number: u128| Member {
    ///     instance: format!("control-{number}"),
    ///     region: String::new(),
    ///     identity: ReplicaIdentity(number),
    ///     role: MemberRole::Voter,
    /// };
    /// let members = Members { list: (1..=5).map(voter).collect(), ..Members::default() };
    /// assert_eq!(members.majority(), 3);
    /// assert!(!members.has_majority(|member| member.identity < ReplicaIdentity(3)));
    /// ```
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns how many voters may lose their disks while the others can still elect a leader and
    /// commit its first entry. A learner whose voter was removed stands for a disk that is already
    /// lost, and counts as a voter that is one of them. A voter that is about to be removed, as its
    /// replacement votes already, does not count.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_control::{Member, MemberRole, Members, ReplicaIdentity};
    ///
    /// let member = |number: u128, role| Member {
    ///     instance: format!("control-{number}"),
    ///     region: String::new(),
    ///     identity: ReplicaIdentity(number),
    ///     role,
    /// };
    /// let voters = |count| (1..=count).map(|number| member(number, MemberRole::Voter));
    /// let mut members = Members { list: voters(5).collect(), ..Members::default() };
    /// assert_eq!(members.tolerated_disk_losses(), 2);
    /// members.list.pop();
    /// assert_eq!(members.tolerated_disk_losses(), 1);
    /// let learner = MemberRole::Learner { replaces: ReplicaIdentity(5) };
    /// members.list.push(member(6, learner));
    /// assert_eq!(members.tolerated_disk_losses(), 2);
    /// ```
    pub fn tolerated_disk_losses(&self) -> usize {
        let voters = self.voters().count();
        let lasting_voters = match self.learner() {
            Some((learner, replaces)) if learner.identity == replaces => voters - 1,
            Some((_, replaces)) if !self.is_voter(replaces) => voters + 1,
            _ => voters,
        };
        lasting_voters.saturating_sub(1) / 2
    }

    /// Returns the member that has this identity.
    pub fn find(&self, identity: ReplicaIdentity) -> Option<&Member> {
        self.list.iter().find(|m| m.identity == identity)
    }

    /// Returns whether a voter has this identity.
    pub fn is_voter(&self, identity: ReplicaIdentity) -> bool {
        self.voters().any(|m| m.identity == identity)
    }

    /// Returns whether a majority of the voters satisfies a condition.
    pub fn has_majority(&self, mut holds: impl FnMut(&Member) -> bool) -> bool {
        let count = self.voters().filter(|m| holds(m)).count();
        count >= self.majority()
    }

    /// Returns the members with one added. A learner or observer on the same instance is removed.
    pub fn with_member(&self, added: Member) -> Self {
        let kept = self
            .list
            .iter()
            .filter(|m| m.role == MemberRole::Voter || m.instance != added.instance);
        let mut list: Vec<Member> = kept.cloned().collect();
        list.push(added);
        Self {
            cluster: self.cluster,
            list,
        }
    }

    /// Returns the observers.
    pub fn observers(&self) -> impl Iterator<Item = &Member> + '_ {
        self.list.iter().filter(|m| m.role == MemberRole::Observer)
    }

    /// Returns the members without the one that has this identity.
    pub fn without_member(&self, identity: ReplicaIdentity) -> Self {
        let list = self.list.iter().filter(|m| m.identity != identity);
        Self {
            cluster: self.cluster,
            list: list.cloned().collect(),
        }
    }

    /// Returns the members with a learner made a voter. The voter that it replaces, if there still is
    /// one, is listed as the next to be removed.
    pub fn with_promoted_learner(&self, learner: ReplicaIdentity) -> Self {
        let mut members = self.with_promoted(learner);
        let replaced = self.learner().and_then(|(_, voter)| self.find(voter));
        members.list.extend(replaced.map(|voter| Member {
            role: MemberRole::Learner {
                replaces: voter.identity,
            },
            ..voter.clone()
        }));
        members
    }

    /// Returns the members with the one that has this identity made a voter.
    pub fn with_promoted(&self, identity: ReplicaIdentity) -> Self {
        let mut members = self.clone();
        for member in &mut members.list {
            if member.identity == identity {
                member.role = MemberRole::Voter;
            }
        }
        members
    }
}
