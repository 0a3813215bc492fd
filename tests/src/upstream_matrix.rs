//! Fault matrix of upstreams: each fault of one upstream, with each kind of request.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use laburnumdeal_daemon::InjectedFault;
use tokio::time::Instant;

use crate::behavior::Fault;
use crate::caller::{Caller, CallerRequest, CallerResponse};
use crate::cluster::Cluster;
use crate::fake_link::LinkState;
use crate::plan::{Plan, service};
use crate::violation::Violation;

/// Deadline of a request of the matrix, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Longest time from sending a request to its final outcome: its deadline and a margin for
/// scheduling.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Number of requests sent at the same time.
const BATCH_SIZE: usize = 12;

/// Longest time from the end of the fault until all requests are answered again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Kind of request, by whether it may be repeated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// May be repeated.
    #[display("read")]
    Read,
    /// May not be repeated; has a key that makes resends safe.
    #[display("write with a key")]
    Keyed,
    /// May not be repeated; has no key.
    #[display("write without a key")]
    Keyless,
}

/// Fault of one upstream or of the link to it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamFault {
    /// Crashes on every request and restarts.
    #[display("crashes")]
    Crash,
    /// Does not listen.
    #[display("is down")]
    Down,
    /// Rejects every request without running it.
    #[display("sheds")]
    Shed,
    /// Runs requests and never responds.
    #[display("is silent")]
    Silent,
    /// Sends bodies shorter than their `content-length`.
    #[display("truncates answers")]
    Truncate,
    /// Responds slowly, as with cold caches.
    #[display("is slow")]
    Slow,
    /// Reports that it is leaving.
    #[display("is leaving")]
    Leaving,
    /// Fails to send load reports.
    #[display("reports no load")]
    NoLoad,
    /// Reports all slots in use.
    #[display("claims to be full")]
    ClaimsFull,
    /// Reports no requests in flight.
    #[display("claims to be empty")]
    ClaimsEmpty,
    /// Open connections to it forward nothing more; new ones work.
    #[display("loses open connections")]
    SilenceOpen,
    /// The link to it forwards nothing.
    #[display("is out of reach")]
    Unreachable,
    /// The link to it closes connections.
    #[display("link breaks")]
    LinkBroken,
}

/// Cell of the matrix: a fault and a kind of request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{kind}, upstream {fault}")]
pub struct UpstreamCell {
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Fault of the upstream.
    pub fault: UpstreamFault,
}

impl UpstreamCell {
    /// Returns whether every request must be answered. Reads must, since other upstreams have free
    /// slots; writes must if the fault lets them run or proves that they did not run.
    pub fn must_answer(&self) -> bool {
        use UpstreamFault::*;
        // The fake link accepts connections also while the upstream is down, so there is no proof
        // that a write did not run.
        let is_proven = matches!(
            self.fault,
            Shed | Slow | Leaving | NoLoad | ClaimsFull | ClaimsEmpty
        );
        self.kind == RequestKind::Read || is_proven
    }
}

/// Returns all cells: each fault with each kind of request.
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
        SilenceOpen,
        Unreachable,
        LinkBroken,
    ];
    let kinds = [RequestKind::Read, RequestKind::Keyed, RequestKind::Keyless];
    kinds
        .into_iter()
        .flat_map(|kind| {
            faults
                .into_iter()
                .map(move |fault| UpstreamCell { kind, fault })
        })
        .collect()
}

/// Run of a cell on its own cluster.
pub struct UpstreamRun {
    cluster: Cluster,
    kind: RequestKind,
    must_answer: bool,
    next: usize,
    violations: Vec<Violation>,
    outcomes: HashMap<String, CallerResponse>,
}

/// Upstream that has the fault.
const FAULTY_UPSTREAM: &str = "catalog-nasr-1";

impl UpstreamRun {
    /// Runs a cell and returns the violated guarantees.
    pub async fn execute(cell: UpstreamCell) -> Vec<Violation> {
        Self::execute_with(cell, None).await
    }

    /// Runs a cell with a fault injected into the program and returns the violated guarantees.
    pub async fn execute_with_fault(cell: UpstreamCell, fault: InjectedFault) -> Vec<Violation> {
        Self::execute_with(cell, Some(fault)).await
    }

    async fn execute_with(cell: UpstreamCell, injected: Option<InjectedFault>) -> Vec<Violation> {
        let plan = Plan {
            services: vec![service("catalog", false)],
            ..Plan::default()
        };
        let cluster = Cluster::spawn(plan).await;
        cluster.wait_members().await;
        cluster.inject(injected);
        let mut run = Self {
            cluster,
            kind: cell.kind,
            must_answer: cell.must_answer(),
            next: 0,
            violations: Vec::new(),
            outcomes: HashMap::new(),
        };
        run.wait_until_answered().await;
        run.send_batch().await;
        run.inject(cell.fault);
        run.send_batch().await;
        run.send_batch().await;
        run.check_fault(cell.fault).await;
        run.clear_fault(cell.fault).await;
        run.wait_until_answered().await;
        run.check();
        run.violations
    }

    fn inject(&self, fault: UpstreamFault) {
        let upstream = self.cluster.upstream(FAULTY_UPSTREAM);
        match fault {
            UpstreamFault::Crash => upstream.set(|b| b.fault = Some(Fault::Crash)),
            UpstreamFault::Down => upstream.crash(),
            UpstreamFault::Shed => upstream.set(|b| b.fault = Some(Fault::Shed)),
            UpstreamFault::Silent => upstream.set(|b| b.fault = Some(Fault::Silent)),
            UpstreamFault::Truncate => upstream.set(|b| b.fault = Some(Fault::Truncate)),
            UpstreamFault::Slow => upstream.set(|b| b.latency = Duration::from_millis(900)),
            UpstreamFault::Leaving => upstream.set(|b| b.state = "leaving"),
            UpstreamFault::NoLoad => upstream.set(|b| b.is_load_hidden = true),
            UpstreamFault::ClaimsFull => upstream.set(|b| b.reported_in_flight = Some(9)),
            UpstreamFault::ClaimsEmpty => upstream.set(|b| b.reported_in_flight = Some(0)),
            UpstreamFault::SilenceOpen => self.link(LinkState::SilenceOpen),
            UpstreamFault::Unreachable => self.link(LinkState::Silent),
            UpstreamFault::LinkBroken => self.link(LinkState::Broken),
        }
    }

    async fn clear_fault(&self, fault: UpstreamFault) {
        let upstream = self.cluster.upstream(FAULTY_UPSTREAM);
        upstream.set(|behavior| {
            behavior.fault = None;
            behavior.latency = Duration::ZERO;
            behavior.state = "ready";
            behavior.is_load_hidden = false;
            behavior.reported_in_flight = None;
        });
        self.link(LinkState::Open);
        if fault == UpstreamFault::Down {
            upstream
                .restart()
                .await
                .expect("the address of the upstream is still free");
        }
    }

    fn link(&self, state: LinkState) {
        self.cluster.set_upstream_link(FAULTY_UPSTREAM, state);
    }

    /// Checks that a leaving upstream gets no new requests after a few seconds.
    async fn check_fault(&mut self, fault: UpstreamFault) {
        if fault != UpstreamFault::Leaving {
            return;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = self.cluster.upstream(FAULTY_UPSTREAM).runs().len();
        self.send_batch().await;
        let after = self.cluster.upstream(FAULTY_UPSTREAM).runs().len();
        if after > before {
            self.violations.push(Violation::WorkWhileLeaving {
                requests: after - before,
            });
        }
    }

    /// Sends a batch of requests through all instances at the same time and records the outcomes.
    async fn send_batch(&mut self) {
        let mut sent = Vec::new();
        for _ in 0..BATCH_SIZE {
            let at = ["nasr-1", "nasr-2", "smouha-1"][self.next % 3];
            let (operation, request) = self.request(at).await;
            let address = self.cluster.instance(at).caller_address;
            let started_at = Instant::now();
            let task = tokio::spawn(async move { Caller.send(address, &request).await });
            sent.push((operation, started_at, task));
        }
        for (operation, started_at, task) in sent {
            let outcome = tokio::time::timeout(OUTCOME_TIMEOUT, task).await;
            match outcome {
                Ok(Ok(Ok(response))) => self.record(operation, response),
                Ok(_) => self.violations.push(Violation::NoOutcome { operation }),
                Err(_) => self.violations.push(Violation::Late {
                    operation,
                    waited_ms: started_at.elapsed().as_millis() as u64,
                }),
            }
        }
    }

    async fn request(&mut self, at: &str) -> (String, CallerRequest) {
        self.next += 1;
        let operation = format!("operation-{}", self.next);
        let path = format!("/units/{operation}");
        let request = match self.kind {
            RequestKind::Read => CallerRequest::get("catalog", &path),
            RequestKind::Keyless => CallerRequest::post("catalog", &path, "body"),
            RequestKind::Keyed => {
                let token = self
                    .cluster
                    .look_up(at, "catalog")
                    .await
                    .expect("the instance answers look-ups")
                    .token;
                CallerRequest::post("catalog", &path, "body")
                    .header("laburnum-key", format!("{token}.{operation}"))
            }
        };
        let request = request
            .header("x-operation", &operation)
            .header("laburnum-deadline-ms", DEADLINE_MS);
        (operation, request)
    }

    fn record(&mut self, operation: String, response: CallerResponse) {
        if response.outcome() == "not-run" && response.header("laburnum-retry-after-ms").is_empty()
        {
            self.violations.push(Violation::NoRetryAfter {
                operation: operation.clone(),
            });
        }
        self.outcomes.insert(operation, response);
    }

    /// Sends batches until all requests of one are answered.
    async fn wait_until_answered(&mut self) {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        loop {
            let before = self.next;
            self.send_batch().await;
            let is_answered = |number: usize| {
                let response = self.outcomes.get(&format!("operation-{number}"));
                response.is_some_and(|response| response.outcome() == "answer")
            };
            if (before + 1..=self.next).all(is_answered) {
                return;
            }
            if Instant::now() > until {
                let seen = format!(
                    "{RECOVERY_TIMEOUT:?} after the fault some requests are still not answered"
                );
                self.violations.push(Violation::NotServing { seen });
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn check(&mut self) {
        let runs = self.cluster.runs();
        for (operation, response) in &self.outcomes {
            let ran = runs.get(operation).copied().unwrap_or(0);
            let operation = operation.clone();
            if self.kind != RequestKind::Read && ran > 1 {
                self.violations.push(Violation::RanTwice {
                    operation: operation.clone(),
                    runs: ran,
                });
            }
            match response.outcome() {
                "not-run" if ran > 0 => self.violations.push(Violation::FalseNotRun { operation }),
                "answer" if !is_expected_answer(&operation, response) => {
                    self.violations.push(Violation::WrongAnswer {
                        operation,
                        answer: response.text(),
                    });
                }
                "not-run" | "unknown" if self.must_answer => {
                    let seen = format!("{}: {}", response.outcome(), response.text().trim());
                    self.violations
                        .push(Violation::NotAnswered { operation, seen });
                }
                "answer" | "not-run" | "unknown" => {}
                _ => self.violations.push(Violation::NoOutcome { operation }),
            }
        }
    }
}

fn is_expected_answer(operation: &str, response: &CallerResponse) -> bool {
    response
        .text()
        .contains(&format!("ran {operation} /units/{operation} "))
}
