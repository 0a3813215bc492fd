use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_control::{ControlReply, ControlRequest, PeerLink, Replica};
use laburnumdeal_model::InstanceId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fake_disk::FakeDisk;

/// Longest message that instances accept, as the daemon's.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

pub type TestReplica = Replica<TestLink, FakeDisk>;

/// Simulated network that can be partitioned, and that delays, loses, duplicates and reorders
/// messages.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    generator: ChaCha8Rng,
    replicas: BTreeMap<InstanceId, TestReplica>,
    partitions: BTreeSet<(InstanceId, InstanceId)>,
    /// Instances whose messages are held back, as if their processes were suspended.
    frozen: BTreeSet<InstanceId>,
    max_delay_ms: u64,
    lost_permille: u32,
    duplicated_permille: u32,
    vote_request_count: u64,
}

/// Connection of one instance to the network.
#[derive(Clone)]
pub struct TestLink {
    network: Network,
    from: InstanceId,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                generator: ChaCha8Rng::seed_from_u64(seed),
                replicas: BTreeMap::new(),
                partitions: BTreeSet::new(),
                frozen: BTreeSet::new(),
                max_delay_ms: 2,
                lost_permille: 0,
                duplicated_permille: 0,
                vote_request_count: 0,
            })),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    pub fn link(&self, from: InstanceId) -> TestLink {
        TestLink {
            network: self.clone(),
            from,
        }
    }

    pub fn connect(&self, instance: InstanceId, replica: TestReplica) {
        self.inner().replicas.insert(instance, replica);
    }

    pub fn disconnect(&self, instance: InstanceId) {
        self.inner().replicas.remove(&instance);
    }

    /// Drops the messages from one instance to another until [`Network::heal`].
    pub fn partition_one_way(&self, from: InstanceId, to: InstanceId) {
        self.inner().partitions.insert((from, to));
    }

    pub fn partition(&self, one: InstanceId, other: InstanceId) {
        self.partition_one_way(one, other);
        self.partition_one_way(other, one);
    }

    pub fn heal(&self) {
        let mut inner = self.inner();
        inner.partitions.clear();
        inner.frozen.clear();
    }

    /// Lets the messages between two instances pass again, in both directions.
    pub fn heal_between(&self, one: InstanceId, other: InstanceId) {
        let mut inner = self.inner();
        inner.partitions.remove(&(one, other));
        inner.partitions.remove(&(other, one));
    }

    /// Returns the number of requests for votes and pre-votes that were sent so far.
    pub fn vote_request_count(&self) -> u64 {
        self.inner().vote_request_count
    }

    /// Suspends an instance: holds back its messages until [`Network::heal`].
    pub fn freeze(&self, instance: InstanceId) {
        self.inner().frozen.insert(instance);
    }

    pub fn set_faults(&self, max_delay_ms: u64, lost_permille: u32, duplicated_permille: u32) {
        let mut inner = self.inner();
        inner.max_delay_ms = max_delay_ms;
        inner.lost_permille = lost_permille;
        inner.duplicated_permille = duplicated_permille;
    }

    /// Returns true with a probability in thousandths.
    fn chance(&self, permille: impl Fn(&Inner) -> u32) -> bool {
        let mut inner = self.inner();
        let permille = permille(&inner);
        inner.generator.random_range(0..1000) < permille
    }

    /// Delivers a message in one direction after a random delay; returns false if it is lost.
    async fn transmit(&self, from: InstanceId, to: InstanceId) -> bool {
        let delay_ms = {
            let mut inner = self.inner();
            let max = inner.max_delay_ms;
            inner.generator.random_range(0..=max)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        while self.is_frozen(from, to) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        !self.inner().partitions.contains(&(from, to)) && !self.chance(|inner| inner.lost_permille)
    }

    fn is_frozen(&self, from: InstanceId, to: InstanceId) -> bool {
        let inner = self.inner();
        inner.frozen.contains(&from) || inner.frozen.contains(&to)
    }

    async fn deliver(
        &self,
        from: InstanceId,
        to: InstanceId,
        request: ControlRequest,
    ) -> Option<ControlReply> {
        if !self.transmit(from, to).await {
            return None;
        }
        let replica = self.inner().replicas.get(&to).cloned()?;
        let reply = replica.handle(from, request).await;
        self.transmit(to, from).await.then_some(reply)
    }
}

impl PeerLink for TestLink {
    type Error = String;

    async fn call(&self, to: InstanceId, request: ControlRequest) -> Result<ControlReply, String> {
        let bytes = rmp_serde::to_vec(&request).unwrap();
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(format!("a message of {} bytes is refused", bytes.len()));
        }
        let request: ControlRequest = rmp_serde::from_slice(&bytes).unwrap();
        if matches!(request, ControlRequest::Vote { .. }) {
            self.network.inner().vote_request_count += 1;
        }
        if self.network.chance(|inner| inner.duplicated_permille) {
            let (network, from, duplicate) = (self.network.clone(), self.from, request.clone());
            tokio::spawn(async move { network.deliver(from, to, duplicate).await });
        }
        let delivery = self.network.deliver(self.from, to, request);
        match tokio::time::timeout(Duration::from_millis(2000), delivery).await {
            Ok(Some(reply)) => {
                let bytes = rmp_serde::to_vec(&reply).unwrap();
                if bytes.len() > MAX_MESSAGE_BYTES {
                    return Err(format!("a reply of {} bytes is refused", bytes.len()));
                }
                Ok(rmp_serde::from_slice(&bytes).unwrap())
            }
            _ => Err("no reply within 2000 ms".to_owned()),
        }
    }
}
