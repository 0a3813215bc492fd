//! The fault matrix of upstreams: every fault on one upstream, for every kind of request.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use laburnumdeal_daemon::InjectedFault;
use tokio::time::Instant;

use crate::behavior::Fault;
use crate::broken::Broken;
use crate::caller::{Ask, Caller, Got};
use crate::cluster::Cluster;
use crate::fake_link::LinkState;
use crate::plan::{Plan, service};

/// Deadline of a request of the matrix, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Longest time from sending a request to its final outcome: its deadline and some scheduling.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Requests that are sent at the same time while the fault lasts.
const WAVE: usize = 12;

/// Longest time after the fault until every request is answered again.
const RECOVERY: Duration = Duration::from_secs(10);

/// Kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent.
    #[display("read")]
    Read,
    /// May not be repeated, with a key.
    #[display("write with a key")]
    Keyed,
    /// May not be repeated, without a key.
    #[display("write without a key")]
    Bare,
}

/// What is wrong with one upstream, or with what lies between it and the instances.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamFault {
    /// It crashes on every request and comes back.
    #[display("crashes")]
    Crash,
    /// It is down.
    #[display("is down")]
    Down,
    /// It sheds every request.
    #[display("sheds")]
    Shed,
    /// It runs requests and never answers.
    #[display("is silent")]
    Silent,
    /// Its answers end early.
    #[display("truncates answers")]
    Truncate,
    /// It is slow, as with cold caches.
    #[display("is slow")]
    Slow,
    /// It says that it is leaving.
    #[display("is leaving")]
    Leaving,
    /// Its load reports stop.
    #[display("reports no load")]
    NoLoad,
    /// Its load reports say that it is full.
    #[display("claims to be full")]
    ClaimsFull,
    /// Its load reports say that it is empty.
    #[display("claims to be empty")]
    ClaimsEmpty,
    /// Open connections to it go silent; new ones work.
    #[display("loses open connections")]
    Forget,
    /// Nothing passes between it and the instances.
    #[display("is out of reach")]
    Unreachable,
    /// The link to it breaks.
    #[display("link breaks")]
    LinkBroken,
}

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{kind}, upstream {fault}")]
pub struct UpstreamCell {
    /// Kind of the requests.
    pub kind: RequestKind,
    /// What is wrong.
    pub fault: UpstreamFault,
}

impl UpstreamCell {
    /// Returns whether every request must be answered: reads always, since other upstreams have
    /// room, and writes where the fault proves that they did not run or lets them run.
    pub fn must_answer(&self) -> bool {
        use UpstreamFault::*;
        // The link in between accepts connections for an upstream that is down, so writes to it
        // cannot be proved not to have run.
        let is_proved = matches!(
            self.fault,
            Shed | Slow | Leaving | NoLoad | ClaimsFull | ClaimsEmpty
        );
        self.kind == RequestKind::Read || is_proved
    }
}

/// Returns every cell.
pub fn upstream_cells() -> Vec<UpstreamCell> {
    use UpstreamFault::*;
    let faults = [
        Crash,
        Down,
        Shed,
        Silent,
        Truncate,
        Slow,
        Leaving,
        NoLoad,
        ClaimsFull,
        ClaimsEmpty,
        Forget,
        Unreachable,
        LinkBroken,
    ];
    let kinds = [RequestKind::Read, RequestKind::Keyed, RequestKind::Bare];
    kinds
        .into_iter()
        .flat_map(|kind| {
            faults
                .into_iter()
                .map(move |fault| UpstreamCell { kind, fault })
        })
        .collect()
}

/// One run of a cell.
pub struct UpstreamRun {
    cluster: Cluster,
    kind: RequestKind,
    must_answer: bool,
    next: usize,
    broken: Vec<Broken>,
    outcomes: HashMap<String, Got>,
}

/// Upstream on which the fault is.
const VICTIM: &str = "catalog-nasr-1";

impl UpstreamRun {
    /// Runs a cell and returns the promises that it broke.
    pub async fn of(cell: UpstreamCell) -> Vec<Broken> {
        Self::with(cell, None).await
    }

    /// Runs a cell of a program with a planted fault and returns the promises that it broke.
    pub async fn planted(cell: UpstreamCell, fault: InjectedFault) -> Vec<Broken> {
        Self::with(cell, Some(fault)).await
    }

    async fn with(cell: UpstreamCell, planted: Option<InjectedFault>) -> Vec<Broken> {
        let plan = Plan {
            services: vec![service("catalog", false)],
            ..Plan::default()
        };
        let cluster = Cluster::spawn(plan).await;
        cluster.wait_members().await;
        cluster.plant(planted);
        let mut run = Self {
            cluster,
            kind: cell.kind,
            must_answer: cell.must_answer(),
            next: 0,
            broken: Vec::new(),
            outcomes: HashMap::new(),
        };
        run.until_served().await;
        run.wave().await;
        run.induce(cell.fault);
        run.wave().await;
        run.wave().await;
        run.check_fault(cell.fault).await;
        run.mend(cell.fault).await;
        run.until_served().await;
        run.check();
        run.broken
    }

    fn induce(&self, fault: UpstreamFault) {
        let upstream = self.cluster.upstream(VICTIM);
        match fault {
            UpstreamFault::Crash => upstream.set(|b| b.fault = Some(Fault::Crash)),
            UpstreamFault::Down => upstream.crash(),
            UpstreamFault::Shed => upstream.set(|b| b.fault = Some(Fault::Shed)),
            UpstreamFault::Silent => upstream.set(|b| b.fault = Some(Fault::Silent)),
            UpstreamFault::Truncate => upstream.set(|b| b.fault = Some(Fault::Truncate)),
            UpstreamFault::Slow => upstream.set(|b| b.latency = Duration::from_millis(900)),
            UpstreamFault::Leaving => upstream.set(|b| b.state = "leaving"),
            UpstreamFault::NoLoad => upstream.set(|b| b.hide_load = true),
            UpstreamFault::ClaimsFull => upstream.set(|b| b.claimed_in_flight = Some(9)),
            UpstreamFault::ClaimsEmpty => upstream.set(|b| b.claimed_in_flight = Some(0)),
            UpstreamFault::Forget => self.link(LinkState::ForgetOpen),
            UpstreamFault::Unreachable => self.link(LinkState::Silent),
            UpstreamFault::LinkBroken => self.link(LinkState::Broken),
        }
    }

    async fn mend(&self, fault: UpstreamFault) {
        let upstream = self.cluster.upstream(VICTIM);
        upstream.set(|behavior| {
            behavior.fault = None;
            behavior.latency = Duration::ZERO;
            behavior.state = "ready";
            behavior.hide_load = false;
            behavior.claimed_in_flight = None;
        });
        self.link(LinkState::Open);
        if fault == UpstreamFault::Down {
            upstream.restart().await.expect("an upstream listens again");
        }
    }

    fn link(&self, state: LinkState) {
        self.cluster.set_upstream_link(VICTIM, state);
    }

    /// A leaving upstream gets no new work after a few seconds.
    async fn check_fault(&mut self, fault: UpstreamFault) {
        if fault != UpstreamFault::Leaving {
            return;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = self.cluster.upstream(VICTIM).runs().len();
        self.wave().await;
        let after = self.cluster.upstream(VICTIM).runs().len();
        if after > before {
            self.broken.push(Broken::WorkWhileLeaving {
                requests: after - before,
            });
        }
    }

    /// Sends requests through every instance at the same time and notes their outcomes.
    async fn wave(&mut self) {
        let mut sent = Vec::new();
        for _ in 0..WAVE {
            let at = ["nasr-1", "nasr-2", "smouha-1"][self.next % 3];
            let (operation, ask) = self.request(at).await;
            let address = self.cluster.instance(at).caller_address;
            let started_at = Instant::now();
            let task = tokio::spawn(async move { Caller.send(address, &ask).await });
            sent.push((operation, started_at, task));
        }
        for (operation, started_at, task) in sent {
            let outcome = tokio::time::timeout(OUTCOME_TIMEOUT, task).await;
            match outcome {
                Ok(Ok(Ok(got))) => self.note(operation, got),
                Ok(_) => self.broken.push(Broken::NoOutcome { operation }),
                Err(_) => self.broken.push(Broken::Late {
                    operation,
                    waited_ms: started_at.elapsed().as_millis() as u64,
                }),
            }
        }
    }

    async fn request(&mut self, at: &str) -> (String, Ask) {
        self.next += 1;
        let operation = format!("operation-{}", self.next);
        let path = format!("/units/{operation}");
        let ask = match self.kind {
            RequestKind::Read => Ask::get("catalog", &path),
            RequestKind::Bare => Ask::post("catalog", &path, "body"),
            RequestKind::Keyed => {
                let token = self
                    .cluster
                    .look_up(at, "catalog")
                    .await
                    .expect("look-up")
                    .token;
                Ask::post("catalog", &path, "body")
                    .header("laburnum-key", format!("{token}.{operation}"))
            }
        };
        let ask = ask
            .header("x-operation", &operation)
            .header("laburnum-deadline-ms", DEADLINE_MS);
        (operation, ask)
    }

    fn note(&mut self, operation: String, got: Got) {
        if got.outcome() == "not-run" && got.header("laburnum-retry-after-ms").is_empty() {
            self.broken.push(Broken::NoTimeToComeBack {
                operation: operation.clone(),
            });
        }
        self.outcomes.insert(operation, got);
    }

    /// Returns once a whole wave is answered.
    async fn until_served(&mut self) {
        let until = Instant::now() + RECOVERY;
        loop {
            let before = self.next;
            self.wave().await;
            let is_answered = |number: usize| {
                let got = self.outcomes.get(&format!("operation-{number}"));
                got.is_some_and(|got| got.outcome() == "answer")
            };
            if (before + 1..=self.next).all(is_answered) {
                return;
            }
            if Instant::now() > until {
                let seen = format!("{RECOVERY:?} after the fault some are not answered");
                self.broken.push(Broken::NotServing { seen });
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn check(&mut self) {
        let runs = self.cluster.runs();
        for (operation, got) in &self.outcomes {
            let ran = runs.get(operation).copied().unwrap_or(0);
            let operation = operation.clone();
            if self.kind != RequestKind::Read && ran > 1 {
                self.broken.push(Broken::RanTwice {
                    operation: operation.clone(),
                    runs: ran,
                });
            }
            match got.outcome() {
                "not-run" if ran > 0 => self.broken.push(Broken::FalseNotRun { operation }),
                "answer" if !is_right(&operation, got) => {
                    self.broken.push(Broken::WrongAnswer {
                        operation,
                        answer: got.text(),
                    });
                }
                "not-run" | "unknown" if self.must_answer => {
                    let seen = format!("{}: {}", got.outcome(), got.text().trim());
                    self.broken.push(Broken::NotAnswered { operation, seen });
                }
                "answer" | "not-run" | "unknown" => {}
                _ => self.broken.push(Broken::NoOutcome { operation }),
            }
        }
    }
}

fn is_right(operation: &str, got: &Got) -> bool {
    got.text()
        .contains(&format!("ran {operation} /units/{operation} "))
}
