use serde::{Deserialize, Serialize};

use crate::{ClusterId, ReplicaIdentity};

/// Replicas of the log as of one of its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Identity of the log.
    pub cluster: ClusterId,
    /// Every member, voters and learners.
    pub list: Vec<Member>,
}

/// One replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance that it runs on; arena keys may differ between releases of settings.
    pub instance: String,
    /// Region that it runs in; empty where it does not matter.
    pub region: String,
    /// Identity of its folder.
    pub identity: ReplicaIdentity,
    /// What it may do.
    pub role: MemberRole,
}

/// What a member may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts for majorities.
    Voter,
    /// Follows the log without a vote.
    Observer,
    /// Follows the log without a vote, until it takes the place of a voter.
    Learner {
        /// Identity of the voter that it takes the place of.
        replaces: ReplicaIdentity,
    },
}

impl Members {
    /// Returns the members that count for majorities.
    pub fn voters(&self) -> impl Iterator<Item = &Member> + '_ {
        self.list.iter().filter(|m| m.role == MemberRole::Voter)
    }

    /// Returns the member that follows without a vote, if there is one.
    pub fn learner(&self) -> Option<(&Member, ReplicaIdentity)> {
        self.list.iter().find_map(|m| match m.role {
            MemberRole::Learner { replaces } => Some((m, replaces)),
            MemberRole::Voter | MemberRole::Observer => None,
        })
    }

    /// Returns the number of voters that form a majority.
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

    /// Returns the member of an identity.
    pub fn find(&self, identity: ReplicaIdentity) -> Option<&Member> {
        self.list.iter().find(|m| m.identity == identity)
    }

    /// Returns whether an identity counts for majorities.
    pub fn is_voter(&self, identity: ReplicaIdentity) -> bool {
        self.voters().any(|m| m.identity == identity)
    }

    /// Returns whether a majority of the voters satisfies a condition.
    pub fn has_majority(&self, mut holds: impl FnMut(&Member) -> bool) -> bool {
        let count = self.voters().filter(|m| holds(m)).count();
        count >= self.majority()
    }

    /// Returns the members with one added; an earlier one of its instance without a vote goes.
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

    /// Returns the members that follow without a vote and replace none.
    pub fn observers(&self) -> impl Iterator<Item = &Member> + '_ {
        self.list.iter().filter(|m| m.role == MemberRole::Observer)
    }

    /// Returns the members without an identity.
    pub fn without_member(&self, identity: ReplicaIdentity) -> Self {
        let list = self.list.iter().filter(|m| m.identity != identity);
        Self {
            cluster: self.cluster,
            list: list.cloned().collect(),
        }
    }

    /// Returns the members with a learner turned into a voter.
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
