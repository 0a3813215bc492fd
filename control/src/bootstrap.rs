use std::sync::Arc;

use laburnumdeal_model::Term;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use slog::info;
use tokio::time::sleep;

use crate::core::Core;
use crate::{
    ClusterId, ControlReply, ControlRequest, Disk, Entry, Member, MemberRole, Members, Payload,
    PeerLink, ReplicaIdentity,
};

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Bootstraps the cluster once every initial member answers and is blank: it belongs to no
    /// cluster yet. Only the member with the smallest name does so. A replica that lost its disk
    /// finds members that are not blank, and waits until the leader adds it as a learner.
    pub async fn run_bootstrap(self: Arc<Self>, mut generator: ChaCha8Rng) {
        let may_bootstrap = self
            .settings
            .auto_membership
            .is_none_or(|settings| settings.may_bootstrap);
        // Names are compared because instance ids may differ between processes.
        let names = self.settings.initial_members.iter();
        let first = names.map(|id| self.settings.names.name(*id)).min();
        if !may_bootstrap || first.as_ref() != Some(&self.name) {
            return;
        }
        while self.volatile().cluster().is_none() {
            let cluster = ClusterId(generator.random());
            match self.blank_members().await {
                Some(list) => self.store_first_entry(Members { cluster, list }).await,
                None => sleep(self.settings.heartbeat_interval()).await,
            }
        }
    }

    /// Returns the initial members, or `None` unless each of them answers that it is blank.
    async fn blank_members(&self) -> Option<Vec<Member>> {
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
        Some(list)
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
