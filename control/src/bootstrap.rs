use std::sync::Arc;

use laburnumdeal_model::Term;
use slog::info;
use tokio::time::{Instant, sleep};

use crate::core::Core;
use crate::{
    ClusterId, ControlReply, ControlRequest, Disk, Entry, Member, MemberRole, Members, Payload,
    PeerLink, ReplicaIdentity,
};

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Bootstraps the cluster once every initial member answers and is blank: it belongs to no
    /// cluster yet. The member with the smallest name does so at once, another one if they are still
    /// blank an election timeout later. All write the same entry, so it does not matter if several
    /// do. A replica that lost its disk finds members that are not blank, and waits until the leader
    /// adds it as a learner.
    pub async fn run_bootstrap(self: Arc<Self>, may_bootstrap: bool) {
        let names = self.initial_member_names();
        if !may_bootstrap || !names.contains(&self.name) {
            return;
        }
        let is_first = names.first() == Some(&self.name);
        let mut blank_since = None;
        while self.volatile().cluster().is_none() {
            let Some(members) = self.blank_members().await else {
                blank_since = None;
                sleep(self.settings.heartbeat_interval()).await;
                continue;
            };
            let waited = blank_since.get_or_insert_with(Instant::now).elapsed();
            match is_first || waited >= self.settings.election_timeout() {
                true => self.store_first_entry(members).await,
                false => sleep(self.settings.heartbeat_interval()).await,
            }
        }
    }

    /// Returns the names of the initial members in ascending order, which is the same for all of
    /// them, unlike that of their instance ids.
    fn initial_member_names(&self) -> Vec<String> {
        let ids = self.settings.initial_members.iter();
        let mut names: Vec<String> = ids.map(|id| self.settings.names.name(*id)).collect();
        names.sort();
        names
    }

    /// Returns the initial members, or `None` unless each of them answers that it is blank.
    async fn blank_members(&self) -> Option<Members> {
        let mut list = Vec::new();
        for instance in &self.settings.initial_members {
            let (identity, region) = match *instance == self.settings.me {
                true => (self.identity, self.settings.region.clone()),
                false => self.blank_identity(*instance).await?,
            };
            list.push(Member {
                instance: self.settings.names.name(*instance),
                region,
                identity,
                role: MemberRole::Voter,
            });
        }
        list.sort_by(|a, b| a.instance.cmp(&b.instance));
        let cluster = ClusterId::of(list.iter().map(|member| member.identity));
        Some(Members { cluster, list })
    }

    async fn blank_identity(
        &self,
        instance: laburnumdeal_model::InstanceId,
    ) -> Option<(ReplicaIdentity, String)> {
        let within = self.settings.election_timeout();
        match self.call(instance, ControlRequest::Identify, within).await {
            Ok(ControlReply::Identity {
                identity,
                cluster: None,
                region,
            }) => Some((identity, region)),
            _ => None,
        }
    }

    async fn store_first_entry(&self, members: Members) {
        let guard = self.lock_store().await;
        if self.volatile().cluster().is_some() {
            return;
        }
        let count = members.list.len();
        let entry = Entry {
            index: 1,
            term: Term(0),
            payload: Payload::Members(members),
        };
        let (_guard, appended) = self.append(guard, vec![entry]).await;
        if appended.is_ok() {
            info!(self.log, "bootstrapped the change log"; "members" => count);
        }
    }
}
