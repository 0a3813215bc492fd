//! The fault matrix of requests that may not be repeated.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use laburnumdeal_daemon::{FaultPoint, InjectedFault};
use tokio::time::Instant;

use crate::broken::Broken;
use crate::caller::{Ask, Caller, Got};
use crate::cluster::{Cluster, wait_until};
use crate::fake_link::LinkState;
use crate::plan::Plan;

/// Longest time from sending a request to its final outcome: its deadline and some scheduling.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Time for which a frozen instance stays frozen: longer than peers take to notice.
const FROZEN: Duration = Duration::from_millis(1_800);

/// Time after a fault in which late messages and thawed tasks may still act.
const SETTLE: Duration = Duration::from_millis(600);

/// Deadline of a request of the matrix, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Instance whose step is held and to which the fault happens.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    /// Home of the key.
    #[display("home")]
    Home,
    /// Mirror of the key.
    #[display("mirror")]
    Mirror,
}

/// What happens when the step is reached.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestFault {
    /// The instance is killed.
    #[display("killed")]
    Kill,
    /// The instance is killed and starts again, blank.
    #[display("killed and restarted")]
    KillRestart,
    /// The instance is frozen for longer than peers wait, and thaws.
    #[display("frozen and thawed")]
    Freeze,
    /// The links of the instance go silent, then work again.
    #[display("links silent")]
    Silent,
    /// The links of the instance break, then work again.
    #[display("links broken")]
    Broken,
    /// Open connections of the instance's links go silent for good; new ones work.
    #[display("open connections forgotten")]
    Forget,
    /// The other instance of the pair is killed.
    #[display("partner killed")]
    PartnerKill,
    /// Both instances of the pair are killed and start again, blank.
    #[display("both killed and restarted")]
    BothRestart,
    /// The step takes long, and the caller resends meanwhile.
    #[display("slow")]
    Slow,
}

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{step} at {place}, {fault}")]
pub struct RequestCell {
    /// Step that is reached.
    pub step: FaultPoint,
    /// Instance that reaches it.
    pub place: Place,
    /// What happens then.
    pub fault: RequestFault,
}

/// Returns every cell that is possible.
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
        Forget,
        PartnerKill,
        BothRestart,
        Slow,
    ];
    let places = at_home
        .into_iter()
        .map(|step| (step, Place::Home))
        .chain(at_mirror.into_iter().map(|step| (step, Place::Mirror)));
    places
        .flat_map(|(step, place)| {
            faults
                .into_iter()
                .map(move |fault| RequestCell { step, place, fault })
        })
        .collect()
}

/// One run of a cell.
pub struct MatrixRun {
    cluster: Cluster,
    broken: Vec<Broken>,
    outcomes: HashMap<String, Vec<Got>>,
}

impl MatrixRun {
    /// Runs a cell and returns the promises that it broke.
    pub async fn of(cell: RequestCell) -> Vec<Broken> {
        Self::with(cell, None).await
    }

    /// Runs a cell of a program with a planted fault and returns the promises that it broke.
    pub async fn planted(cell: RequestCell, fault: InjectedFault) -> Vec<Broken> {
        Self::with(cell, Some(fault)).await
    }

    async fn with(cell: RequestCell, planted: Option<InjectedFault>) -> Vec<Broken> {
        let plan = Plan {
            upstreams_per_zone: 1,
            ..Plan::default()
        };
        let cluster = Cluster::spawn(plan).await;
        cluster.wait_members().await;
        wait_own_upstream(&cluster, "nasr-2", "gatekeeper-nasr-1").await;
        cluster.plant(planted);
        let mut run = Self {
            cluster,
            broken: Vec::new(),
            outcomes: HashMap::new(),
        };
        run.run(cell).await;
        run.check();
        run.broken
    }

    async fn run(&mut self, cell: RequestCell) {
        let (home, mirror) = ("nasr-2", "nasr-1");
        let ask = self.unlock("victim", home).await;
        let (place, partner) = match cell.place {
            Place::Home => (home, mirror),
            Place::Mirror => (mirror, home),
        };
        let mut held = self.cluster.host(place).faults().arm(cell.step);
        let first = self.send_later(home, &ask);
        held.reached().await;
        self.induce(cell.fault, place, partner, &ask).await;
        held.release();
        self.recover(cell.fault, place, partner).await;
        let resends = [home, mirror, "smouha-1", "smouha-1"];
        for to in resends {
            self.resend("victim", to, &ask).await;
        }
        if let Ok(Ok(got)) = first.await {
            self.note("victim", got);
        }
        self.bystander().await;
        tokio::time::sleep(SETTLE).await;
    }

    /// Returns a request with a key whose home is `home`.
    async fn unlock(&self, operation: &str, home: &str) -> Ask {
        let token = self
            .cluster
            .look_up(home, "gatekeeper")
            .await
            .expect("look-up")
            .token;
        Ask::post("gatekeeper", &format!("/unlock/{operation}"), "please")
            .header("laburnum-key", format!("{token}.{operation}"))
            .header("laburnum-deadline-ms", DEADLINE_MS)
            .header("x-operation", operation)
    }

    fn send_later(&self, to: &str, ask: &Ask) -> tokio::task::JoinHandle<std::io::Result<Got>> {
        let (address, ask) = (self.cluster.instance(to).caller_address, ask.clone());
        tokio::spawn(async move { Caller.send(address, &ask).await })
    }

    async fn induce(&mut self, fault: RequestFault, place: &str, partner: &str, ask: &Ask) {
        match fault {
            RequestFault::Kill => self.cluster.kill(place).await,
            RequestFault::KillRestart => {
                self.cluster.kill(place).await;
                self.cluster
                    .start(place)
                    .await
                    .expect("an instance starts again");
            }
            RequestFault::Freeze => {
                self.cluster.host(place).freeze().await;
                self.resend("victim", partner, ask).await;
            }
            RequestFault::Silent => self.cut(place, partner, ask, LinkState::Silent).await,
            RequestFault::Broken => self.cut(place, partner, ask, LinkState::Broken).await,
            RequestFault::Forget => self.cut(place, partner, ask, LinkState::ForgetOpen).await,
            RequestFault::PartnerKill => self.cluster.kill(partner).await,
            RequestFault::BothRestart => {
                for name in [place, partner] {
                    self.cluster.kill(name).await;
                }
                for name in [place, partner] {
                    self.cluster
                        .start(name)
                        .await
                        .expect("an instance starts again");
                }
            }
            RequestFault::Slow => {
                for to in [partner, "smouha-1"] {
                    let (address, ask) = (self.cluster.instance(to).caller_address, ask.clone());
                    tokio::spawn(async move { Caller.send(address, &ask).await });
                }
                tokio::time::sleep(SETTLE).await;
            }
        }
    }

    async fn cut(&mut self, place: &str, partner: &str, ask: &Ask, state: LinkState) {
        self.cluster.set_instance_links(place, state);
        self.resend("victim", partner, ask).await;
    }

    async fn recover(&mut self, fault: RequestFault, place: &str, partner: &str) {
        match fault {
            RequestFault::Freeze => {
                tokio::time::sleep(FROZEN).await;
                self.cluster.host(place).thaw();
            }
            RequestFault::Silent | RequestFault::Broken | RequestFault::Forget => {
                tokio::time::sleep(SETTLE).await;
                self.cluster.set_instance_links(place, LinkState::Open);
            }
            RequestFault::KillRestart => self.cluster.wait_ready(place).await,
            RequestFault::BothRestart => {
                self.cluster.wait_ready(place).await;
                self.cluster.wait_ready(partner).await;
            }
            RequestFault::Kill | RequestFault::PartnerKill | RequestFault::Slow => {}
        }
    }

    /// Sends the same request to another instance and notes its outcome.
    async fn resend(&mut self, operation: &str, to: &str, ask: &Ask) {
        if !self.cluster.is_running(to) {
            return;
        }
        let started_at = Instant::now();
        let sent = self.send_later(to, ask);
        match tokio::time::timeout(OUTCOME_TIMEOUT, sent).await {
            Ok(Ok(Ok(got))) => self.note(operation, got),
            Ok(_) => {}
            Err(_) => self.broken.push(Broken::Late {
                operation: operation.to_owned(),
                waited_ms: started_at.elapsed().as_millis() as u64,
            }),
        }
    }

    fn note(&mut self, operation: &str, got: Got) {
        self.outcomes
            .entry(operation.to_owned())
            .or_default()
            .push(got);
    }

    /// A caller who knows nothing of the fault gets served, with fresh keys where that is asked.
    async fn bystander(&mut self) {
        let mut seen = "no instance is reachable".to_owned();
        let until = Instant::now() + OUTCOME_TIMEOUT;
        let mut number = 0;
        while Instant::now() < until {
            for at in ["smouha-1", "nasr-1", "nasr-2"] {
                if !self.cluster.is_running(at) {
                    continue;
                }
                number += 1;
                let operation = format!("bystander-{number}");
                let Ok(found) = self.cluster.look_up(at, "gatekeeper").await else {
                    continue;
                };
                let ask = Ask::post("gatekeeper", &format!("/unlock/{operation}"), "please")
                    .header("laburnum-key", format!("{}.{operation}", found.token))
                    .header("laburnum-deadline-ms", DEADLINE_MS)
                    .header("x-operation", &operation);
                if let Ok(got) = self.cluster.send(at, &ask).await {
                    let is_answer = got.outcome() == "answer";
                    seen = format!("{}: {}", got.outcome(), got.text().trim());
                    self.note(&operation, got);
                    if is_answer {
                        return;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.broken.push(Broken::NotServing { seen });
    }

    /// Checks the promises from what callers and upstreams saw.
    fn check(&mut self) {
        let runs = self.cluster.runs();
        for (operation, count) in runs.iter().filter(|(name, _)| !name.is_empty()) {
            if *count > 1 {
                self.broken.push(Broken::RanTwice {
                    operation: operation.clone(),
                    runs: *count,
                });
            }
        }
        for (operation, outcomes) in &self.outcomes {
            let ran = runs.get(operation).copied().unwrap_or(0);
            for got in outcomes {
                self.broken.extend(check_outcome(operation, got, ran));
            }
        }
    }
}

fn check_outcome(operation: &str, got: &Got, runs: u32) -> Option<Broken> {
    let operation = operation.to_owned();
    match got.outcome() {
        "not-run" if runs > 0 => Some(Broken::FalseNotRun { operation }),
        "answer" if runs == 0 => Some(Broken::FalseAnswer { operation }),
        "answer"
            if !got
                .text()
                .contains(&format!("ran {operation} /unlock/{operation} ")) =>
        {
            Some(Broken::WrongAnswer {
                operation,
                answer: got.text(),
            })
        }
        _ => None,
    }
}

/// Waits until an instance has its unlocks run on an upstream of its own zone.
async fn wait_own_upstream(cluster: &Cluster, at: &str, upstream: &str) {
    let mut number = 0;
    wait_until(&format!("{at} uses {upstream}"), async || {
        let Ok(found) = cluster.look_up(at, "gatekeeper").await else {
            return false;
        };
        number += 1;
        let ask = Ask::post("gatekeeper", "/unlock/warm", "")
            .header("laburnum-key", format!("{}.warm-{number}", found.token));
        let got = cluster.send(at, &ask).await;
        got.is_ok_and(|got| got.header("laburnum-upstream") == upstream)
    })
    .await;
}
