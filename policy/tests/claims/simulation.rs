use std::collections::{HashMap, HashSet};
use std::time::Duration;

use derive_more::Display;
use laburnumdeal_model::{BootId, InstanceId, ZoneId};
use laburnumdeal_policy::{
    BeginReply, Claim, ClaimRecord, ClaimResult, ClaimSettings, ClaimTable, ClaimToken, FenceReply,
    HandOver, KeyId, MirrorReply, Outcome, RequestKey, RunningClaim, StartedClaim,
    TokenlessHistory, pair_for_tokenless_key,
};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::support::{HORIZON_MS, answer, key_of, tokenless_key};

const INSTANCES: u16 = 3;

/// Protocol fault that the simulation injects, to show that its checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The home starts a request before the mirror has acknowledged the claim.
    SendBeforeAcknowledged,
    /// A fence of a claimed key is reported as "not run".
    FenceIgnoresClaim,
    /// A home that times out waiting for the mirror reports "not run" but keeps its claim.
    TimeoutKeepsClaim,
    /// A restarted instance reuses the boot id of its earlier run.
    BootIdReused,
    /// A restarted instance claims tokenless keys at once.
    RestartedRunClaimsTokenlessKeys,
}

/// Key with its home and mirror, and the time when it was first used.
#[derive(Clone, Copy)]
pub struct IssuedKey {
    key: RequestKey,
    home: InstanceId,
    mirror: Option<InstanceId>,
    issued_at_ms: u64,
}

/// Claimed request that its home has not started.
struct Attempt {
    id: u64,
    issued: IssuedKey,
    boot: BootId,
    claim: Claim,
    is_confirmed: bool,
}

#[derive(Clone)]
enum Message {
    MirrorClaim {
        attempt: u64,
        issued: IssuedKey,
        home_boot: BootId,
    },
    Acknowledged {
        attempt: u64,
        reply: MirrorReply,
    },
    HandOver {
        to: InstanceId,
        part: HandOver,
    },
    TokenlessHandOver {
        from: InstanceId,
        to: InstanceId,
        boot: BootId,
        sent_ms: u64,
        records: Vec<ClaimRecord>,
    },
    Copy {
        to: InstanceId,
        issued: IssuedKey,
    },
    Abandoned {
        issued: IssuedKey,
        home_boot: BootId,
    },
}

/// Three instances, an upstream that counts runs, and messages that are lost, delayed or repeated.
pub struct Simulation {
    fault: Fault,
    rng: ChaCha8Rng,
    tables: Vec<ClaimTable>,
    boots: Vec<BootId>,
    /// Replaced runs that were frozen, with their boot ids; they still process what reaches them.
    frozen: Vec<(InstanceId, BootId, ClaimTable)>,
    next_id: u64,
    now_ms: u64,
    record_limit: usize,
    /// Probability that a chosen fence, timeout, restart or stop happens.
    disruption_rate: f64,
    /// Fraction of keys without a token.
    tokenless_fraction: f64,
    keys: Vec<IssuedKey>,
    attempts: Vec<Attempt>,
    started: Vec<(IssuedKey, BootId, StartedClaim)>,
    waiting: Vec<(IssuedKey, RunningClaim)>,
    messages: Vec<Message>,
    runs: HashMap<KeyId, u32>,
    reported_not_run: HashSet<KeyId>,
    pub outcomes: HashMap<Outcome, u32>,
}

/// Violation of the at-most-once guarantee.
#[derive(Debug, Display)]
pub struct Violation(pub &'static str);

type StepResult = Result<(), Violation>;

impl Simulation {
    pub fn new(fault: Fault, mut rng: ChaCha8Rng) -> Self {
        let record_limit = *[4, 1_000].choose(&mut rng).unwrap();
        let disruption_rate = *[0.1, 0.4, 1.0].choose(&mut rng).unwrap();
        let tokenless_fraction = *[0.1, 0.9].choose(&mut rng).unwrap();
        let mut simulation = Self {
            fault,
            rng,
            tables: Vec::new(),
            boots: vec![BootId(100); INSTANCES.into()],
            frozen: Vec::new(),
            next_id: 101,
            now_ms: 0,
            record_limit,
            disruption_rate,
            tokenless_fraction,
            keys: Vec::new(),
            attempts: Vec::new(),
            started: Vec::new(),
            waiting: Vec::new(),
            messages: Vec::new(),
            runs: HashMap::new(),
            reported_not_run: HashSet::new(),
            outcomes: HashMap::new(),
        };
        simulation.tables = (0..INSTANCES)
            .map(|id| simulation.new_table(InstanceId(id), TokenlessHistory::Complete))
            .collect();
        simulation
    }

    pub async fn step(&mut self) -> StepResult {
        let is_disrupted = self.rng.random_bool(self.disruption_rate);
        match self.rng.random_range(0..100) {
            0..8 => self.issue_key(),
            8..28 => self.resend()?,
            28..52 => self.deliver()?,
            52..68 => self.start()?,
            68..76 => self.finish()?,
            76..80 => self.report_waiting()?,
            80..82 => self.sync(),
            82..84 => self.pass_time().await,
            84..92 if is_disrupted => self.fence()?,
            92..96 if is_disrupted => self.abandon()?,
            96..99 if is_disrupted => self.restart(),
            99 if is_disrupted => self.stop(),
            _ => {}
        }
        Ok(())
    }

    pub fn check(&self) -> StepResult {
        if self.runs.values().any(|count| *count > 1) {
            return Err(Violation("a request ran twice"));
        }
        if self
            .reported_not_run
            .iter()
            .any(|id| self.runs.contains_key(id))
        {
            return Err(Violation("a request ran that was reported as not run"));
        }
        Ok(())
    }

    fn new_table(&self, me: InstanceId, tokenless_history: TokenlessHistory) -> ClaimTable {
        let table = ClaimTable::new(ClaimSettings {
            record_limit: self.record_limit,
            answer_budget_bytes: 300,
            resend_horizon_ms: HORIZON_MS,
            members: (0..INSTANCES)
                .map(|id| (InstanceId(id), ZoneId(id)))
                .collect(),
            tokenless_history,
            ..ClaimSettings::new(me, self.boots[me.index()])
        });
        table.tick();
        table
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn issue_key(&mut self) {
        let nonce = format!("n{}", self.next_id());
        let home = InstanceId(self.rng.random_range(0..INSTANCES));
        let issued = if self.rng.random_bool(self.tokenless_fraction) {
            let key = tokenless_key(&nonce);
            let members: Vec<_> = (0..INSTANCES).map(|i| (InstanceId(i), ZoneId(i))).collect();
            let (home, mirror) = pair_for_tokenless_key(key.id(), &members);
            self.new_issued_key(key, home, mirror)
        } else {
            let mirror = InstanceId((home.0 + self.rng.random_range(1..INSTANCES)) % INSTANCES);
            let mirror = self.rng.random_bool(0.9).then_some(mirror);
            let token = ClaimToken {
                home,
                home_boot: self.boots[home.index()],
                mirror: mirror.map(|m| (m, self.boots[m.index()])),
                issued_ms: self.next_id / 4,
            };
            self.new_issued_key(key_of(&token, &nonce), home, mirror)
        };
        self.keys.push(issued);
    }

    fn new_issued_key(
        &self,
        key: RequestKey,
        home: InstanceId,
        mirror: Option<InstanceId>,
    ) -> IssuedKey {
        IssuedKey {
            key,
            home,
            mirror,
            issued_at_ms: self.now_ms,
        }
    }

    /// Picks one of the latest keys that its caller may still send.
    fn pick_key(&mut self) -> Option<IssuedKey> {
        let now_ms = self.now_ms;
        let is_sent =
            |k: &&IssuedKey| k.key.token.is_some() || now_ms < k.issued_at_ms + HORIZON_MS;
        let sent: Vec<_> = self.keys.iter().rev().take(8).filter(is_sent).collect();
        sent.choose(&mut self.rng).map(|issued| **issued)
    }

    fn resend(&mut self) -> StepResult {
        let Some(issued) = self.pick_key() else {
            return Ok(());
        };
        // An instance that imported the claims of the home may be responsible for them.
        let at = if self.rng.random_bool(0.8) {
            issued.home
        } else {
            self.any_instance()
        };
        let (boot, table) = self.pick_run(at);
        match table.begin(&issued.key, 1) {
            BeginReply::Claimed(claim) => self.claimed(issued, boot, claim),
            BeginReply::Running(running) => self.waiting.push((issued, running)),
            BeginReply::Finished(kept) => {
                self.check_body(&issued, &kept.body)?;
                self.report(&issued, Outcome::Answer)?;
            }
            BeginReply::Fenced => self.report(&issued, Outcome::NotRun)?,
            BeginReply::AlreadyRan | BeginReply::Unknown(_) => {
                self.report(&issued, Outcome::Unknown)?
            }
            BeginReply::KeyReused => return Err(Violation("a key was reported as reused")),
        }
        Ok(())
    }

    /// Picks the run of an instance that a caller reaches: the current one, or a replaced one that was frozen
    /// and has resumed.
    fn pick_run(&mut self, id: InstanceId) -> (BootId, ClaimTable) {
        let frozen: Vec<_> = self.frozen.iter().filter(|run| run.0 == id).collect();
        match frozen.choose(&mut self.rng) {
            Some((_, boot, table)) if self.rng.random_bool(0.1) => (*boot, table.clone()),
            _ => (self.boots[id.index()], self.tables[id.index()].clone()),
        }
    }

    fn claimed(&mut self, issued: IssuedKey, boot: BootId, claim: Claim) {
        let attempt = self.next_id();
        if issued.mirror.is_some() {
            let message = Message::MirrorClaim {
                attempt,
                issued,
                home_boot: boot,
            };
            self.messages.push(message);
        }
        let is_confirmed = claim.mirror().is_none() || self.fault == Fault::SendBeforeAcknowledged;
        self.attempts.push(Attempt {
            id: attempt,
            issued,
            boot,
            claim,
            is_confirmed,
        });
    }

    fn any_instance(&mut self) -> InstanceId {
        InstanceId(self.rng.random_range(0..INSTANCES))
    }

    fn fence(&mut self) -> StepResult {
        let Some(issued) = self.pick_key() else {
            return Ok(());
        };
        let at = self.any_instance();
        let (_, table) = self.pick_run(at);
        let outcome = match table.fence(&issued.key, 1) {
            FenceReply::Claimed if self.fault == Fault::FenceIgnoresClaim => Outcome::NotRun,
            FenceReply::KeyReused => return Err(Violation("a fence reported a key as reused")),
            reply => reply.outcome().unwrap(),
        };
        self.report(&issued, outcome)
    }

    fn deliver(&mut self) -> StepResult {
        if self.messages.is_empty() {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(at);
        if self.rng.random_bool(0.1) {
            return Ok(());
        }
        let is_repeated = self.rng.random_bool(0.15);
        let again = is_repeated.then(|| message.clone());
        self.messages.extend(again);
        match message {
            Message::MirrorClaim {
                attempt,
                issued,
                home_boot,
            } => {
                // The message goes to the mirror or to an instance that may have imported its claims.
                let at = if self.rng.random_bool(0.9) {
                    issued.mirror
                } else {
                    None
                };
                let at = at.unwrap_or_else(|| self.any_instance());
                let table = &self.tables[at.index()];
                let reply = table.mirror_claim(&issued.key, 1, issued.home, home_boot);
                self.messages.push(Message::Acknowledged { attempt, reply });
            }
            Message::Acknowledged { attempt, reply } => return self.acknowledged(attempt, reply),
            Message::HandOver { to, part } => {
                self.tables[to.index()].import(part);
            }
            Message::TokenlessHandOver { sent_ms, .. } if self.now_ms > sent_ms + HORIZON_MS => {}
            Message::TokenlessHandOver {
                from,
                to,
                boot,
                records,
                ..
            } => self.tables[to.index()].import_tokenless(from, boot, records),
            Message::Copy { to, issued } => {
                let copy = answer(&body(&issued));
                self.tables[to.index()].store_answer(&issued.key, copy);
            }
            Message::Abandoned { issued, home_boot } => {
                if let Some(mirror) = issued.mirror {
                    let table = &self.tables[mirror.index()];
                    table.store_fence(&issued.key, issued.home, home_boot);
                }
            }
        }
        Ok(())
    }

    fn acknowledged(&mut self, id: u64, reply: MirrorReply) -> StepResult {
        let Some(at) = self.attempts.iter().position(|a| a.id == id) else {
            return Ok(());
        };
        match self.attempts[at].claim.confirm_mirror(reply) {
            Ok(()) => {
                self.attempts[at].is_confirmed = true;
                Ok(())
            }
            Err(outcome) => {
                let attempt = self.attempts.swap_remove(at);
                self.report(&attempt.issued, outcome)
            }
        }
    }

    fn abandon(&mut self) -> StepResult {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.attempts.len());
        let issued = self.attempts[at].issued;
        if self.fault != Fault::TimeoutKeepsClaim {
            let attempt = self.attempts.swap_remove(at);
            attempt.claim.abandon();
            self.messages.push(Message::Abandoned {
                issued,
                home_boot: attempt.boot,
            });
        }
        self.report(&issued, Outcome::NotRun)
    }

    fn start(&mut self) -> StepResult {
        let ready: Vec<_> = (0..self.attempts.len())
            .filter(|at| self.attempts[*at].is_confirmed)
            .collect();
        let Some(at) = ready.choose(&mut self.rng) else {
            return Ok(());
        };
        let mut attempt = self.attempts.swap_remove(*at);
        if self.fault == Fault::SendBeforeAcknowledged {
            let mirror_boot = BootId(0);
            let _ = attempt
                .claim
                .confirm_mirror(MirrorReply::Claimed { mirror_boot });
        }
        match attempt.claim.start() {
            Ok(started) => {
                *self.runs.entry(attempt.issued.key.id()).or_default() += 1;
                self.started.push((attempt.issued, attempt.boot, started));
                self.check()
            }
            Err(_) => self.report(&attempt.issued, Outcome::NotRun),
        }
    }

    fn finish(&mut self) -> StepResult {
        if self.started.is_empty() {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.started.len());
        let (issued, _, started) = self.started.swap_remove(at);
        if self.rng.random_bool(0.3) {
            started.finish_unknown();
            return self.report(&issued, Outcome::Unknown);
        }
        started.finish(answer(&body(&issued)));
        let to = self.any_instance();
        self.messages.push(Message::Copy { to, issued });
        self.report(&issued, Outcome::Answer)
    }

    fn restart(&mut self) {
        let id = self.any_instance();
        let old = self.boots[id.index()];
        if self.fault != Fault::BootIdReused {
            self.boots[id.index()] = BootId(self.next_id());
        }
        let tokenless_history = match self.fault {
            Fault::RestartedRunClaimsTokenlessKeys => TokenlessHistory::Complete,
            _ => TokenlessHistory::Unknown,
        };
        let table = self.new_table(id, tokenless_history);
        let replaced = std::mem::replace(&mut self.tables[id.index()], table);
        // A frozen process may resume its requests; those of a process that died are lost.
        let is_frozen = self.rng.random_bool(0.5);
        if is_frozen {
            self.frozen.push((id, old, replaced));
        }
        let survives = |k: &IssuedKey, boot| boot != old || k.home != id || is_frozen;
        self.attempts.retain(|a| survives(&a.issued, a.boot));
        self.started
            .retain(|(issued, boot, _)| survives(issued, *boot));
    }

    fn stop(&mut self) {
        let (id, to) = (self.any_instance(), self.any_instance());
        let table = &self.tables[id.index()];
        let parts = table.export().into_iter();
        self.messages
            .extend(parts.map(|part| Message::HandOver { to, part }));
        for partner in (0..INSTANCES).map(InstanceId).filter(|p| *p != id) {
            let message =
                table
                    .export_tokenless(partner)
                    .map(|records| Message::TokenlessHandOver {
                        from: id,
                        to: partner,
                        boot: self.boots[id.index()],
                        sent_ms: self.now_ms,
                        records,
                    });
            self.messages.extend(message);
        }
        if self.rng.random_bool(0.5) {
            self.restart();
        }
    }

    fn sync(&mut self) {
        let id = self.any_instance();
        let boot = self.boots[id.index()];
        for from in (0..INSTANCES).map(InstanceId).filter(|from| *from != id) {
            let sync = self.tables[from.index()].sync_records(id, boot);
            // The reply is lost with a probability of 0.2.
            if let Some(sync) = sync.filter(|_| self.rng.random_bool(0.8)) {
                self.tables[id.index()].sync_from(from, sync);
            }
        }
    }

    async fn pass_time(&mut self) {
        let passed_ms = self.rng.random_range(1..HORIZON_MS);
        self.now_ms += passed_ms;
        tokio::time::advance(Duration::from_millis(passed_ms)).await;
        self.tables.iter().for_each(ClaimTable::tick);
    }

    fn report_waiting(&mut self) -> StepResult {
        let waiting = std::mem::take(&mut self.waiting);
        for (issued, running) in waiting {
            match running.result() {
                None => self.waiting.push((issued, running)),
                Some(result) => {
                    if let ClaimResult::Answer(kept) = &result {
                        self.check_body(&issued, &kept.body)?;
                    }
                    self.report(&issued, result.outcome())?;
                }
            }
        }
        Ok(())
    }

    fn check_body(&self, issued: &IssuedKey, found: &[u8]) -> StepResult {
        if found == body(issued).as_bytes() {
            Ok(())
        } else {
            Err(Violation("an answer of another key was returned"))
        }
    }

    fn report(&mut self, issued: &IssuedKey, outcome: Outcome) -> StepResult {
        *self.outcomes.entry(outcome).or_default() += 1;
        let ran = self.runs.contains_key(&issued.key.id());
        match outcome {
            Outcome::NotRun => {
                self.reported_not_run.insert(issued.key.id());
            }
            Outcome::Answer if !ran => return Err(Violation("answer reported without a run")),
            _ => {}
        }
        self.check()
    }
}

fn body(issued: &IssuedKey) -> String {
    issued.key.id().to_string()
}
