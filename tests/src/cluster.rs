use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumdeal_daemon::{DaemonError, InjectedFault};
use laburnumdeal_model::{InstanceSettings, TopologySettings};
use tempfile::TempDir;
use tokio::time::Instant;

use crate::caller::{Caller, CallerRequest, CallerResponse, LookupAnswer};
use crate::fake_link::{FakeLink, LinkState};
use crate::fake_upstream::FakeUpstream;
use crate::host::Host;
use crate::loopback::Loopback;
use crate::operator::Operator;
use crate::plan::Plan;

/// Longest time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Real daemons in this process on loopback addresses, with fake upstreams. A fake link stands
/// between each pair of instances and before each upstream, so that it can be cut.
pub struct Cluster {
    plan: Plan,
    topology: TopologySettings,
    folder: TempDir,
    hosts: HashMap<String, Host>,
    upstreams: HashMap<String, FakeUpstream>,
    links: HashMap<(String, String), FakeLink>,
    upstream_links: HashMap<String, FakeLink>,
    topology_seen_by: HashMap<String, TopologySettings>,
    platform: Option<SocketAddr>,
    loopback: Loopback,
}

impl Cluster {
    /// Starts all instances, links and upstreams of a plan and waits until each instance is ready.
    pub async fn spawn(plan: Plan) -> Self {
        let mut cluster = Self::prepare(plan).await;
        cluster.start_all().await;
        cluster
    }

    /// Starts the links and upstreams of a plan, but no instance.
    pub async fn prepare(plan: Plan) -> Self {
        let mut loopback = Loopback::new();
        let topology = plan.topology(&mut loopback);
        let mut cluster = Self {
            plan,
            folder: tempfile::tempdir().expect("a temporary folder can be made"),
            hosts: HashMap::new(),
            upstreams: HashMap::new(),
            links: HashMap::new(),
            upstream_links: HashMap::new(),
            topology_seen_by: HashMap::new(),
            platform: None,
            topology,
            loopback,
        };
        cluster.start_upstreams().await;
        cluster.start_links().await;
        cluster
    }

    /// Starts every instance and waits until each is ready.
    pub async fn start_all(&mut self) {
        let names: Vec<String> = self
            .topology
            .instances
            .iter()
            .map(|instance| instance.name.clone())
            .collect();
        for name in &names {
            self.start(name)
                .await
                .expect("an instance of the plan starts");
        }
        for name in &names {
            self.wait_ready(name).await;
        }
    }

    /// Starts one instance.
    ///
    /// # Errors
    ///
    /// Returns why the instance does not start.
    pub async fn start(&mut self, name: &str) -> Result<(), DaemonError> {
        let mut settings = self.plan.settings(&self.topology_seen_by[name], name);
        settings.platform_list = self.platform;
        if self.instance(name).control {
            settings.data_folder = Some(self.folder.path().join(name));
        }
        let host = Host::spawn(settings).await?;
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// Kills an instance.
    pub async fn kill(&mut self, name: &str) {
        self.take_host(name).kill().await;
    }

    /// Removes an instance from the cluster and returns its host, to stop it in the background.
    pub fn take_host(&mut self, name: &str) -> Host {
        self.hosts.remove(name).expect("the instance runs")
    }

    /// Returns the host of a running instance.
    pub fn host(&self, name: &str) -> &Host {
        &self.hosts[name]
    }

    /// Injects a program fault into every running instance.
    pub fn inject(&self, fault: Option<InjectedFault>) {
        for host in self.hosts.values() {
            fault.iter().for_each(|fault| host.faults().inject(*fault));
        }
    }

    /// Returns whether an instance is running.
    pub fn is_running(&self, name: &str) -> bool {
        self.hosts.contains_key(name)
    }

    /// Waits until every running instance considers all other running instances live.
    pub async fn wait_members(&self) {
        for name in self.hosts.keys() {
            wait_until(&format!("{name} considers the others live"), async || {
                let rows = self.operator(name).rows("show instances").await;
                rows.iter()
                    .all(|row| !self.is_running(&row[0]) || row[3] == "live")
            })
            .await;
        }
    }

    /// Deletes the data folder of a stopped instance, as the loss of its disk does.
    pub fn delete_data_folder(&self, name: &str) {
        let _ = std::fs::remove_dir_all(self.folder.path().join(name));
    }

    /// Waits until an instance reports that it is ready.
    pub async fn wait_ready(&self, name: &str) {
        let address = self.instance(name).operator_address;
        wait_until(&format!("{name} is ready"), async || {
            let response = Caller
                .send(address, &CallerRequest::get("", "/ready"))
                .await;
            response.is_ok_and(|response| response.status.is_success())
        })
        .await;
    }

    /// Returns an address for the platform's instance list, which instances that start later read.
    pub fn configure_platform(&mut self) -> SocketAddr {
        let address = self.loopback.address();
        self.platform = Some(address);
        address
    }

    /// Sets the state of the link from one instance to another.
    pub fn set_link(&self, from: &str, to: &str, state: LinkState) {
        self.links[&(from.to_owned(), to.to_owned())].set(state);
    }

    /// Sets the state of the link that all instances use to reach an upstream.
    pub fn set_upstream_link(&self, name: &str, state: LinkState) {
        self.upstream_links[name].set(state);
    }

    /// Sets the state of the links between a zone and the others, in both directions.
    pub fn set_zone_links(&self, zone: &str, state: LinkState) {
        for ((from, to), link) in &self.links {
            let is_inside = |name: &String| self.instance(name).zone == zone;
            if is_inside(from) != is_inside(to) {
                link.set(state);
            }
        }
    }

    /// Sets the state of all links of an instance, in both directions.
    pub fn set_instance_links(&self, name: &str, state: LinkState) {
        for ((from, to), link) in &self.links {
            if from == name || to == name {
                link.set(state);
            }
        }
    }

    /// Returns the number of bytes that the instances have sent each other.
    pub fn peer_bytes(&self) -> u64 {
        self.links.values().map(FakeLink::forwarded_bytes).sum()
    }

    /// Returns the fake upstream of a name.
    pub fn upstream(&self, name: &str) -> &FakeUpstream {
        &self.upstreams[name]
    }

    /// Returns all fake upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &FakeUpstream> {
        self.upstreams.values()
    }

    /// Returns the number of runs of each operation on all upstreams.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for upstream in self.upstreams.values() {
            for (operation, runs) in upstream.runs_by_operation() {
                *counts.entry(operation).or_default() += runs;
            }
        }
        counts
    }

    /// Returns the settings of an instance.
    pub fn instance(&self, name: &str) -> &InstanceSettings {
        let mut instances = self.topology.instances.iter();
        instances
            .find(|instance| instance.name == name)
            .expect("the instance is in the plan")
    }

    /// Returns the topology with the real addresses of the instances, which bypass the links.
    pub fn topology(&self) -> &TopologySettings {
        &self.topology
    }

    /// Returns an operator client of an instance.
    pub fn operator(&self, name: &str) -> Operator {
        Operator::new(self.instance(name).operator_address)
    }

    /// Sends a request to an instance.
    ///
    /// # Errors
    ///
    /// Returns the error that the caller saw.
    pub async fn send(&self, name: &str, request: &CallerRequest) -> io::Result<CallerResponse> {
        Caller
            .send(self.instance(name).caller_address, request)
            .await
    }

    /// Returns the body of `/ready` of an instance, or the error of the request.
    pub async fn readiness(&self, name: &str) -> String {
        let address = self.instance(name).operator_address;
        let response = Caller
            .send(address, &CallerRequest::get("", "/ready"))
            .await;
        response.map_or_else(|error| error.to_string(), |response| response.text())
    }

    /// Looks up a service at an instance.
    ///
    /// # Errors
    ///
    /// Returns the error that the caller saw.
    pub async fn look_up(&self, name: &str, service: &str) -> io::Result<LookupAnswer> {
        Caller
            .look_up(self.instance(name).caller_address, service, "192.0.2.7")
            .await
    }

    async fn start_upstreams(&mut self) {
        for settings in &self.topology.upstreams {
            let address = self.loopback.address();
            let upstream = FakeUpstream::bind(&settings.name, address)
                .await
                .expect("the address of an upstream is free");
            let link = FakeLink::bind(settings.address, address)
                .await
                .expect("the address of a link is free");
            self.upstream_links.insert(settings.name.clone(), link);
            upstream.set(|behavior| behavior.slots = u32::from(settings.slots));
            self.upstreams.insert(settings.name.clone(), upstream);
        }
    }

    async fn start_links(&mut self) {
        for from in self.topology.instances.clone() {
            let mut seen = self.topology.clone();
            for to in seen.instances.iter_mut().filter(|to| to.name != from.name) {
                let address = self.loopback.address();
                let link = FakeLink::bind(address, to.peer_address)
                    .await
                    .expect("the address of a link is free");
                to.peer_address = address;
                self.links
                    .insert((from.name.clone(), to.name.clone()), link);
            }
            self.topology_seen_by.insert(from.name, seen);
        }
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` when the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
