//! Fault matrix of requests that may not be repeated: faults of instances and of their links.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use laburnumdeal_daemon::{FaultPoint, InjectedFault};
use tokio::time::Instant;

use crate::caller::{Caller, CallerRequest, CallerResponse};
use crate::cluster::{Cluster, wait_until};
use crate::fake_link::LinkState;
use crate::plan::Plan;
use crate::violation::Violation;

/// Longest time from sending a request to its final outcome: its deadline and a margin for
/// scheduling.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Time for which an instance stays frozen; longer than its peers take to suspect it.
const FREEZE_TIME: Duration = Duration::from_millis(1_800);

/// Wait after a fault, so that late messages and resumed tasks take effect before the checks.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Deadline of a request of the matrix, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Role of the faulty instance for the key of the request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum KeyRole {
    /// Home of the key.
    #[display("home")]
    Home,
    /// Mirror of the key.
    #[display("mirror")]
    Mirror,
}

/// Fault that starts when the step is reached.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestFault {
    /// The instance is killed.
    #[display("killed")]
    Kill,
    /// The instance is killed and restarts without its state.
    #[display("killed and restarted")]
    KillRestart,
    /// The instance is frozen for longer than its peers wait, then resumes.
    #[display("frozen and thawed")]
    Freeze,
    /// The links of the instance forward nothing, then work again.
    #[display("links silent")]
    Silent,
    /// The links of the instance close connections, then work again.
    #[display("links broken")]
    Broken,
    /// Open connections on the instance's links forward nothing for good; new ones work.
    #[display("open connections forgotten")]
    SilenceOpen,
    /// The other instance of the pair is killed.
    #[display("partner killed")]
    PartnerKill,
    /// Both instances of the pair are killed and restart without their state.
    #[display("both killed and restarted")]
    BothRestart,
    /// The step takes long, and the caller resends in the meantime.
    #[display("slow")]
    Slow,
}

/// Cell of the matrix: a fault at a step of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{step} at {role}, {fault}")]
pub struct RequestCell {
    /// Step at which the fault starts.
    pub step: FaultPoint,
    /// Role of the instance that reaches the step.
    pub role: KeyRole,
    /// Fault that starts then.
    pub fault: RequestFault,
}

/// Returns all cells: each fault at each step of home and mirror.
pub fn request_cells() -> Vec<RequestCell> {
    use RequestFault::*;
    let at_home = [
        FaultPoint::Arrived,
        FaultPoint::Claimed,
        FaultPoint::Mirrored,
        FaultPoint::Started,
        FaultPoint::Chosen,
        FaultPoint::AnswerHead,
        FaultPoint::Answered,
        FaultPoint::Stored,
    ];
    let at_mirror = [FaultPoint::MirrorAsked, FaultPoint::MirrorClaimed];
    let faults = [
        Kill,
        KillRestart,
        Freeze,
        Silent,
        Broken,
        SilenceOpen,
        PartnerKill,
        BothRestart,
        Slow,
    ];
    let steps = at_home
        .into_iter()
        .map(|step| (step, KeyRole::Home))
        .chain(at_mirror.into_iter().map(|step| (step, KeyRole::Mirror)));
    steps
        .flat_map(|(step, role)| {
            faults
                .into_iter()
                .map(move |fault| RequestCell { step, role, fault })
        })
        .collect()
}

/// Run of a cell on its own cluster.
pub struct RequestRun {
    cluster: Cluster,
    violations: Vec<Violation>,
    outcomes: HashMap<String, Vec<CallerResponse>>,
}

impl RequestRun {
    /// Runs a cell and returns the violated guarantees.
    pub async fn execute(cell: RequestCell) -> Vec<Violation> {
        Self::execute_with(cell, None).await
    }

    /// Runs a cell with a fault injected into the program and returns the violated guarantees.
    pub async fn execute_with_fault(cell: RequestCell, fault: InjectedFault) -> Vec<Violation> {
        Self::execute_with(cell, Some(fault)).await
    }

    async fn execute_with(cell: RequestCell, injected: Option<InjectedFault>) -> Vec<Violation> {
        let plan = Plan {
            upstreams_per_zone: 1,
            ..Plan::default()
        };
        let cluster = Cluster::spawn(plan).await;
        cluster.wait_members().await;
        wait_for_zonal_upstream(&cluster, "nasr-2", "gatekeeper-nasr-1").await;
        cluster.inject(injected);
        let mut run = Self {
            cluster,
            violations: Vec::new(),
            outcomes: HashMap::new(),
        };
        run.run(cell).await;
        run.check();
        run.violations
    }

    async fn run(&mut self, cell: RequestCell) {
        let (home, mirror) = ("nasr-2", "nasr-1");
        let request = self.unlock("faulted", home).await;
        let (target, partner) = match cell.role {
            KeyRole::Home => (home, mirror),
            KeyRole::Mirror => (mirror, home),
        };
        let mut hold = self.cluster.host(target).faults().arm(cell.step);
        let first_send = self.spawn_send(home, &request);
        hold.reached().await;
        self.inject(cell.fault, target, partner, &request).await;
        hold.release();
        self.recover(cell.fault, target, partner).await;
        let resends = [home, mirror, "smouha-1", "smouha-1"];
        for to in resends {
            self.resend("faulted", to, &request).await;
        }
        if let Ok(Ok(response)) = first_send.await {
            self.record("faulted", response);
        }
        self.send_unrelated().await;
        tokio::time::sleep(SETTLE_TIME).await;
    }

    /// Returns a request with a key whose home is `home`.
    async fn unlock(&self, operation: &str, home: &str) -> CallerRequest {
        let token = self
            .cluster
            .look_up(home, "gatekeeper")
            .await
            .expect("the home answers look-ups")
            .token;
        CallerRequest::post("gatekeeper", &format!("/unlock/{operation}"), "please")
            .header("laburnum-key", format!("{token}.{operation}"))
            .header("laburnum-deadline-ms", DEADLINE_MS)
            .header("x-operation", operation)
    }

    fn spawn_send(
        &self,
        to: &str,
        request: &CallerRequest,
    ) -> tokio::task::JoinHandle<std::io::Result<CallerResponse>> {
        let (address, request) = (self.cluster.instance(to).caller_address, request.clone());
        tokio::spawn(async move { Caller.send(address, &request).await })
    }

    async fn inject(
        &mut self,
        fault: RequestFault,
        target: &str,
        partner: &str,
        request: &CallerRequest,
    ) {
        match fault {
            RequestFault::Kill => self.cluster.kill(target).await,
            RequestFault::KillRestart => {
                self.cluster.kill(target).await;
                self.cluster
                    .start(target)
                    .await
                    .expect("a killed instance restarts");
            }
            RequestFault::Freeze => {
                self.cluster.host(target).freeze().await;
                self.resend("faulted", partner, request).await;
            }
            RequestFault::Silent => self.cut(target, partner, request, LinkState::Silent).await,
            RequestFault::Broken => self.cut(target, partner, request, LinkState::Broken).await,
            RequestFault::SilenceOpen => {
                self.cut(target, partner, request, LinkState::SilenceOpen)
                    .await
            }
            RequestFault::PartnerKill => self.cluster.kill(partner).await,
            RequestFault::BothRestart => {
                for name in [target, partner] {
                    self.cluster.kill(name).await;
                }
                for name in [target, partner] {
                    self.cluster
                        .start(name)
                        .await
                        .expect("a killed instance restarts");
                }
            }
            RequestFault::Slow => {
                for to in [partner, "smouha-1"] {
                    let (address, request) =
                        (self.cluster.instance(to).caller_address, request.clone());
                    tokio::spawn(async move { Caller.send(address, &request).await });
                }
                tokio::time::sleep(SETTLE_TIME).await;
            }
        }
    }

    async fn cut(
        &mut self,
        target: &str,
        partner: &str,
        request: &CallerRequest,
        state: LinkState,
    ) {
        self.cluster.set_instance_links(target, state);
        self.resend("faulted", partner, request).await;
    }

    async fn recover(&mut self, fault: RequestFault, target: &str, partner: &str) {
        match fault {
            RequestFault::Freeze => {
                tokio::time::sleep(FREEZE_TIME).await;
                self.cluster.host(target).thaw();
            }
            RequestFault::Silent | RequestFault::Broken | RequestFault::SilenceOpen => {
                tokio::time::sleep(SETTLE_TIME).await;
                self.cluster.set_instance_links(target, LinkState::Open);
            }
            RequestFault::KillRestart => self.cluster.wait_ready(target).await,
            RequestFault::BothRestart => {
                self.cluster.wait_ready(target).await;
                self.cluster.wait_ready(partner).await;
            }
            RequestFault::Kill | RequestFault::PartnerKill | RequestFault::Slow => {}
        }
    }

    /// Sends the request again to an instance that runs and records the outcome.
    async fn resend(&mut self, operation: &str, to: &str, request: &CallerRequest) {
        if !self.cluster.is_running(to) {
            return;
        }
        let started_at = Instant::now();
        let sending = self.spawn_send(to, request);
        match tokio::time::timeout(OUTCOME_TIMEOUT, sending).await {
            Ok(Ok(Ok(response))) => self.record(operation, response),
            Ok(_) => {}
            Err(_) => self.violations.push(Violation::Late {
                operation: operation.to_owned(),
                waited_ms: started_at.elapsed().as_millis() as u64,
            }),
        }
    }

    fn record(&mut self, operation: &str, response: CallerResponse) {
        self.outcomes
            .entry(operation.to_owned())
            .or_default()
            .push(response);
    }

    /// Checks that a caller that did not see the fault gets an answer, with a new key per attempt.
    async fn send_unrelated(&mut self) {
        let mut seen = "no instance answered".to_owned();
        let until = Instant::now() + OUTCOME_TIMEOUT;
        let mut number = 0;
        while Instant::now() < until {
            for at in ["smouha-1", "nasr-1", "nasr-2"] {
                if !self.cluster.is_running(at) {
                    continue;
                }
                number += 1;
                let operation = format!("unrelated-{number}");
                let Ok(found) = self.cluster.look_up(at, "gatekeeper").await else {
                    continue;
                };
                let request =
                    CallerRequest::post("gatekeeper", &format!("/unlock/{operation}"), "please")
                        .header("laburnum-key", format!("{}.{operation}", found.token))
                        .header("laburnum-deadline-ms", DEADLINE_MS)
                        .header("x-operation", &operation);
                if let Ok(response) = self.cluster.send(at, &request).await {
                    let is_answer = response.outcome() == "answer";
                    seen = format!("{}: {}", response.outcome(), response.text().trim());
                    self.record(&operation, response);
                    if is_answer {
                        return;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.violations.push(Violation::NotServing { seen });
    }

    /// Checks the guarantees against the outcomes of callers and the runs of upstreams.
    fn check(&mut self) {
        let runs = self.cluster.runs();
        for (operation, count) in runs.iter().filter(|(name, _)| !name.is_empty()) {
            if *count > 1 {
                self.violations.push(Violation::RanTwice {
                    operation: operation.clone(),
                    runs: *count,
                });
            }
        }
        for (operation, outcomes) in &self.outcomes {
            let ran = runs.get(operation).copied().unwrap_or(0);
            for response in outcomes {
                self.violations
                    .extend(check_outcome(operation, response, ran));
            }
        }
    }
}

fn check_outcome(operation: &str, response: &CallerResponse, runs: u32) -> Option<Violation> {
    let operation = operation.to_owned();
    match response.outcome() {
        "not-run" if runs > 0 => Some(Violation::FalseNotRun { operation }),
        "answer" if runs == 0 => Some(Violation::FalseAnswer { operation }),
        "answer"
            if !response
                .text()
                .contains(&format!("ran {operation} /unlock/{operation} ")) =>
        {
            Some(Violation::WrongAnswer {
                operation,
                answer: response.text(),
            })
        }
        _ => None,
    }
}

/// Waits until an instance sends requests to an upstream of its own zone.
async fn wait_for_zonal_upstream(cluster: &Cluster, at: &str, upstream: &str) {
    let mut number = 0;
    wait_until(&format!("{at} uses {upstream}"), async || {
        let Ok(found) = cluster.look_up(at, "gatekeeper").await else {
            return false;
        };
        number += 1;
        let request = CallerRequest::post("gatekeeper", "/unlock/warm", "")
            .header("laburnum-key", format!("{}.warm-{number}", found.token));
        let response = cluster.send(at, &request).await;
        response.is_ok_and(|response| response.header("laburnum-upstream") == upstream)
    })
    .await;
}
