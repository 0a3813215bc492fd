use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_control::{ControlReply, ControlRequest, PeerLink, Replica};
use laburnumdeal_model::InstanceId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fake_disk::FakeDisk;

pub type TestReplica = Replica<TestLink, FakeDisk>;

/// Network in memory that can be cut, and that delays, loses, repeats and reorders.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    generator: ChaCha8Rng,
    replicas: BTreeMap<InstanceId, TestReplica>,
    cuts: BTreeSet<(InstanceId, InstanceId)>,
    /// Instances whose messages wait, as those of a frozen process do.
    frozen: BTreeSet<InstanceId>,
    most_delay_ms: u64,
    lost_permille: u32,
    repeated_permille: u32,
}

/// One instance's end of the network.
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
                cuts: BTreeSet::new(),
                frozen: BTreeSet::new(),
                most_delay_ms: 2,
                lost_permille: 0,
                repeated_permille: 0,
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

    pub fn cut_one_way(&self, from: InstanceId, to: InstanceId) {
        self.inner().cuts.insert((from, to));
    }

    pub fn cut(&self, one: InstanceId, other: InstanceId) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    pub fn heal(&self) {
        let mut inner = self.inner();
        inner.cuts.clear();
        inner.frozen.clear();
    }

    pub fn freeze(&self, instance: InstanceId) {
        self.inner().frozen.insert(instance);
    }

    pub fn set_faults(&self, most_delay_ms: u64, lost_permille: u32, repeated_permille: u32) {
        let mut inner = self.inner();
        inner.most_delay_ms = most_delay_ms;
        inner.lost_permille = lost_permille;
        inner.repeated_permille = repeated_permille;
    }

    fn roll(&self, permille: impl Fn(&Inner) -> u32) -> bool {
        let mut inner = self.inner();
        let permille = permille(&inner);
        inner.generator.random_range(0..1000) < permille
    }

    /// Carries a message one way; returns false when it is lost.
    async fn travel(&self, from: InstanceId, to: InstanceId) -> bool {
        let delay_ms = {
            let mut inner = self.inner();
            let most = inner.most_delay_ms;
            inner.generator.random_range(0..=most)
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        while self.is_frozen(from, to) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        !self.inner().cuts.contains(&(from, to)) && !self.roll(|inner| inner.lost_permille)
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
        if !self.travel(from, to).await {
            return None;
        }
        let replica = self.inner().replicas.get(&to).cloned()?;
        let reply = replica.handle(from, request).await;
        self.travel(to, from).await.then_some(reply)
    }
}

impl PeerLink for TestLink {
    type Error = String;

    async fn call(&self, to: InstanceId, request: ControlRequest) -> Result<ControlReply, String> {
        let bytes = rmp_serde::to_vec(&request).unwrap();
        let request: ControlRequest = rmp_serde::from_slice(&bytes).unwrap();
        if self.network.roll(|inner| inner.repeated_permille) {
            let (network, from, repeated) = (self.network.clone(), self.from, request.clone());
            tokio::spawn(async move { network.deliver(from, to, repeated).await });
        }
        let delivery = self.network.deliver(self.from, to, request);
        match tokio::time::timeout(Duration::from_millis(2000), delivery).await {
            Ok(Some(reply)) => {
                let bytes = rmp_serde::to_vec(&reply).unwrap();
                Ok(rmp_serde::from_slice(&bytes).unwrap())
            }
            _ => Err("no answer".to_owned()),
        }
    }
}
