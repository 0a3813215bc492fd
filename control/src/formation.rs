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
    /// Writes down the first members once every configured replica answers and is blank. One that
    /// lost its disk meets others that are not, and waits to be brought in as a learner.
    pub async fn run_formation(self: Arc<Self>, mut generator: ChaCha8Rng) {
        let may_bootstrap = self
            .settings
            .auto_membership
            .is_none_or(|auto| auto.may_bootstrap);
        // Keys may differ between processes, names do not.
        let names = self.settings.initial_members.iter();
        let first = names.map(|key| self.settings.names.name(*key)).min();
        if !may_bootstrap || first.as_ref() != Some(&self.name) {
            return;
        }
        while self.volatile().cluster().is_none() {
            let cluster = ClusterId(generator.random());
            match self.blank_replicas().await {
                Some(list) => self.form(Members { cluster, list }).await,
                None => sleep(self.settings.heartbeat()).await,
            }
        }
    }

    /// Returns all configured replicas, or `None` unless each answers that it is blank.
    async fn blank_replicas(&self) -> Option<Vec<Member>> {
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
        let within = self.settings.election();
        match self.call(instance, ControlRequest::Identify, within).await {
            Ok(ControlReply::Identity {
                identity,
                cluster: None,
                region,
            }) => Some((identity, region)),
            _ => None,
        }
    }

    async fn form(&self, members: Members) {
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
            info!(self.log, "formed a log"; "members" => count);
        }
    }
}
