use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{BootId, Change, Configuration, InstanceId, ServiceId, Topology, Version};
use laburnumdeal_policy::{CapKey, CapShares, Grant, GrantReturn, ShareSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::cap_checker::CapChecker;
use super::{Shape, configured, topology};

/// Time between two rounds of a run.
const ROUND_US: u64 = 5_000;

/// Maximum delay of a message.
const MAX_DELAY_US: u64 = 1_900_000;

pub const KEY: CapKey = CapKey::Shift(ServiceId(0));

/// Bug that is injected to show that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Lenders reclaim a part without waiting for the borrower's last second.
    EarlyReclaim,
    /// Borrowers count the duration of a grant from its arrival.
    ExpiryFromArrival,
    /// Processes use their whole share immediately after a restart.
    NoRestartReserve,
}

#[derive(Clone, Debug)]
enum Message {
    Borrow {
        from: usize,
        asked_us: u64,
        boot: u64,
    },
    Grant {
        grant: Grant,
        asked_us: u64,
        boot: u64,
    },
    Return(GrantReturn),
}

struct Node {
    shares: Option<CapShares>,
    boot: u64,
    drift_ppm: u64,
    is_busy: bool,
    version: usize,
    grants: Vec<Grant>,
    /// Times of amounts that may still be refunded.
    unused: Vec<u64>,
}

/// Faults of one run. A run without some of them stays closer to its cap, where violations show.
#[derive(Clone, Copy, Debug)]
struct Faults {
    deaths: bool,
    network_cuts: bool,
    changes: bool,
}

/// Simulation of instances that spend, lend, die and restart at random. Each has its own drifting
/// clock, and the network delays, loses and duplicates messages and cuts connections.
pub struct ShareRun {
    rng: ChaCha8Rng,
    topology: Arc<Topology>,
    configurations: Vec<Configuration>,
    settings: ShareSettings,
    bug: InjectedBug,
    faults: Faults,
    base: Instant,
    now_us: u64,
    nodes: Vec<Node>,
    is_cut: Vec<Vec<bool>>,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    pub checker: CapChecker,
    pub grants_used: u64,
}

impl ShareRun {
    pub fn new(seed: u64, bug: InjectedBug) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shape = Shape {
            regions: 2,
            zones: 1,
            instances: rng.random_range(2..=3),
            upstreams: 1,
        };
        let topology = topology(shape, 1_000);
        let count = topology.instances.len();
        let settings = match bug {
            InjectedBug::EarlyReclaim => ShareSettings {
                reclaim_margin_ms: 0,
                ..ShareSettings::default()
            },
            _ => ShareSettings::default(),
        };
        let configurations = (1..6).map(|version| {
            let requests_per_s = [200, 40, 200, 7, 400][rng.random_range(0..5)];
            let service = "s0".into();
            let cap = Change::CapShift {
                service,
                requests_per_s,
            };
            Configuration {
                version: Version(version),
                ..configured(&topology, &[cap])
            }
        });
        let configurations = configurations.collect();
        let mut run = Self {
            topology,
            configurations,
            settings,
            bug,
            faults: Faults {
                deaths: rng.random(),
                network_cuts: rng.random(),
                changes: rng.random(),
            },
            base: Instant::now(),
            now_us: 0,
            nodes: Vec::new(),
            is_cut: vec![vec![false; count]; count],
            messages: BTreeMap::new(),
            sent: 0,
            checker: CapChecker::default(),
            grants_used: 0,
            rng,
        };
        for _ in 0..count {
            let drift_ppm = run.rng.random_range(990_000..=1_010_000);
            run.nodes.push(Node {
                shares: None,
                boot: 0,
                drift_ppm,
                is_busy: false,
                version: 0,
                grants: Vec::new(),
                unused: Vec::new(),
            });
        }
        run
    }

    /// Runs for `run_ms` and returns the maximum excess over the cap.
    pub fn run(&mut self, run_ms: u64) -> u64 {
        for node in 0..self.nodes.len() {
            self.restart(node);
        }
        while self.now_us < run_ms * 1_000 {
            self.now_us += ROUND_US;
            self.deliver();
            for node in 0..self.nodes.len() {
                self.round(node);
            }
        }
        self.checker.excess
    }

    /// Returns a time by the clock of a node.
    fn local(&self, node: usize, at_us: u64) -> Instant {
        let drift = self.nodes[node].drift_ppm;
        self.base + Duration::from_micros(at_us * drift / 1_000_000)
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_ratio(1, one_in)
    }

    fn restart(&mut self, node: usize) {
        let started = match self.bug {
            InjectedBug::NoRestartReserve => self.base,
            _ => self.local(node, self.now_us),
        };
        let boot = self.nodes[node].boot + 1;
        let id = InstanceId(node as u16);
        let shares = CapShares::new(
            id,
            BootId(boot),
            self.topology.clone(),
            self.settings,
            started,
        );
        shares.configure(&self.configurations[self.nodes[node].version]);
        self.nodes[node].shares = Some(shares);
        self.nodes[node].boot = boot;
        self.nodes[node].grants.clear();
        self.nodes[node].unused.clear();
    }

    fn round(&mut self, node: usize) {
        let switch_odds = if self.nodes[node].is_busy { 800 } else { 200 };
        if self.chance(switch_odds) {
            self.nodes[node].is_busy ^= true;
        }
        if self.faults.network_cuts && self.chance(1_500) {
            let other = self.rng.random_range(0..self.nodes.len());
            self.is_cut[node][other] ^= true;
        }
        if self.faults.deaths && self.chance(3_000) {
            self.nodes[node].shares = None;
        }
        if self.nodes[node].shares.is_none() && self.chance(150) {
            self.restart(node);
        }
        if self.faults.changes
            && self.chance(1_500)
            && self.nodes[node].version + 1 < self.configurations.len()
        {
            self.nodes[node].version += 1;
            let version = self.nodes[node].version;
            if let Some(shares) = &self.nodes[node].shares {
                shares.configure(&self.configurations[version]);
            }
        }
        self.spend(node);
    }

    fn spend(&mut self, node: usize) {
        let Some(shares) = self.nodes[node].shares.clone() else {
            return;
        };
        let cap = self.configurations[self.nodes[node].version].shift_caps["s0"];
        self.checker.in_force(cap, self.now_us);
        let now = self.local(node, self.now_us);
        let tries = if self.nodes[node].is_busy { 6 } else { 0 };
        for _ in 0..tries {
            if shares.spend(KEY, 1, now).is_ok() {
                self.checker.spent(1, self.now_us);
                if self.chance(10) {
                    self.nodes[node].unused.push(self.now_us);
                }
            }
        }
        if self.chance(20)
            && let Some(spent_us) = self.nodes[node].unused.pop()
        {
            shares.refund(KEY, 1, self.local(node, spent_us));
            self.checker.refunded(1, spent_us);
        }
        if shares.demand(KEY, now) > 0 && self.chance(40) {
            let lenders = shares.lenders(KEY);
            let lender = lenders[self.rng.random_range(0..lenders.len())].index();
            let (asked_us, boot) = (self.now_us, self.nodes[node].boot);
            self.send(
                node,
                lender,
                Message::Borrow {
                    from: node,
                    asked_us,
                    boot,
                },
            );
        }
        if self.chance(200)
            && let Some(grant) = self.nodes[node].grants.pop()
            && let Some(message) = shares.return_grant(&grant, now)
        {
            self.send(node, grant.from.index(), Message::Return(message));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.is_cut[from][to] || self.chance(10) {
            return;
        }
        let copies = if self.chance(10) { 2 } else { 1 };
        for _ in 0..copies {
            let max_delay_us = if self.chance(2) { MAX_DELAY_US } else { 20_000 };
            let at_us = self.now_us + self.rng.random_range(0..max_delay_us);
            self.sent += 1;
            self.messages
                .insert((at_us, self.sent), (to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now_us, u64::MAX));
        let due = std::mem::replace(&mut self.messages, later);
        for (to, message) in due.into_values() {
            if let Some(shares) = self.nodes[to].shares.clone() {
                self.receive(to, &shares, message);
            }
        }
    }

    fn receive(&mut self, to: usize, shares: &CapShares, message: Message) {
        let now = self.local(to, self.now_us);
        match message {
            Message::Borrow {
                from,
                asked_us,
                boot,
            } => {
                let asked = self.rng.random_range(1..60);
                if let Some(grant) = shares.lend(KEY, InstanceId(from as u16), asked, now) {
                    self.send(
                        to,
                        from,
                        Message::Grant {
                            grant,
                            asked_us,
                            boot,
                        },
                    );
                }
            }
            Message::Grant {
                grant,
                asked_us,
                boot,
            } if boot == self.nodes[to].boot => {
                let asked_at = match self.bug {
                    InjectedBug::ExpiryFromArrival => now,
                    _ => self.local(to, asked_us),
                };
                if shares.accept_grant(&grant, asked_at, now) {
                    self.nodes[to].grants.push(grant);
                    self.grants_used += 1;
                }
            }
            Message::Grant { .. } => {}
            Message::Return(message) => shares.reclaim(&message, now),
        }
    }
}
