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

use crate::support::{HORIZON_MS, answer, bare_key, key_of};

const INSTANCES: u16 = 3;

/// Mistake that the world makes on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The home starts before the mirror has acknowledged.
    SendBeforeAcknowledged,
    /// A fence that meets a claim is told as "not run".
    FenceIgnoresClaim,
    /// A home without the mirror's reply says "not run" and keeps its claim.
    TimeoutKeepsClaim,
    /// A restarted instance has the boot id of its earlier run.
    BootIdReused,
    /// A restarted instance takes keys without a token at once.
    BlankTakesBareKeys,
}

/// Key with what its callers know.
#[derive(Clone, Copy)]
pub struct Known {
    key: RequestKey,
    home: InstanceId,
    mirror: Option<InstanceId>,
    issued_at_ms: u64,
}

/// Request on its way through a home.
struct Attempt {
    number: u64,
    known: Known,
    boot: BootId,
    claim: Claim,
    confirmed: bool,
}

#[derive(Clone)]
enum Message {
    MirrorClaim {
        attempt: u64,
        known: Known,
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
    BareHandOver {
        from: InstanceId,
        to: InstanceId,
        boot: BootId,
        sent_ms: u64,
        records: Vec<ClaimRecord>,
    },
    Copy {
        to: InstanceId,
        known: Known,
    },
    Abandoned {
        known: Known,
        home_boot: BootId,
    },
}

/// Three instances, an upstream that counts runs, and messages that are lost, late or repeated.
pub struct World {
    fault: Fault,
    rng: ChaCha8Rng,
    tables: Vec<ClaimTable>,
    boots: Vec<BootId>,
    /// Replaced runs that were frozen, with their boot ids; they go on with what reaches them.
    frozen: Vec<(InstanceId, BootId, ClaimTable)>,
    next_number: u64,
    now_ms: u64,
    record_limit: usize,
    /// Share of fences, time-outs, restarts and stops that happen.
    trouble: f64,
    /// Share of keys without a token.
    bare_share: f64,
    keys: Vec<Known>,
    attempts: Vec<Attempt>,
    flying: Vec<(Known, BootId, StartedClaim)>,
    waiting: Vec<(Known, RunningClaim)>,
    messages: Vec<Message>,
    runs: HashMap<KeyId, u32>,
    told_not_run: HashSet<KeyId>,
    pub told: HashMap<Outcome, u32>,
}

/// A promise that was broken.
#[derive(Debug, Display)]
pub struct Violation(pub &'static str);

type Step = Result<(), Violation>;

impl World {
    pub fn new(fault: Fault, mut rng: ChaCha8Rng) -> Self {
        let record_limit = *[4, 1_000].choose(&mut rng).unwrap();
        let trouble = *[0.1, 0.4, 1.0].choose(&mut rng).unwrap();
        let bare_share = *[0.1, 0.9].choose(&mut rng).unwrap();
        let mut world = Self {
            fault,
            rng,
            tables: Vec::new(),
            boots: vec![BootId(100); INSTANCES.into()],
            frozen: Vec::new(),
            next_number: 101,
            now_ms: 0,
            record_limit,
            trouble,
            bare_share,
            keys: Vec::new(),
            attempts: Vec::new(),
            flying: Vec::new(),
            waiting: Vec::new(),
            messages: Vec::new(),
            runs: HashMap::new(),
            told_not_run: HashSet::new(),
            told: HashMap::new(),
        };
        world.tables = (0..INSTANCES)
            .map(|id| world.new_table(InstanceId(id), TokenlessHistory::Complete))
            .collect();
        world
    }

    pub async fn step(&mut self) -> Step {
        let is_trouble = self.rng.random_bool(self.trouble);
        match self.rng.random_range(0..100) {
            0..8 => self.make_key(),
            8..28 => self.resend()?,
            28..52 => self.deliver()?,
            52..68 => self.start()?,
            68..76 => self.finish()?,
            76..80 => self.tell_waiting()?,
            80..82 => self.sync(),
            82..84 => self.pass_time().await,
            84..92 if is_trouble => self.fence()?,
            92..96 if is_trouble => self.give_up()?,
            96..99 if is_trouble => self.restart(),
            99 if is_trouble => self.stop(),
            _ => {}
        }
        Ok(())
    }

    pub fn check(&self) -> Step {
        if self.runs.values().any(|count| *count > 1) {
            return Err(Violation("a request ran twice"));
        }
        if self
            .told_not_run
            .iter()
            .any(|id| self.runs.contains_key(id))
        {
            return Err(Violation("a request ran though it was told not run"));
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

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn make_key(&mut self) {
        let nonce = format!("n{}", self.number());
        let home = InstanceId(self.rng.random_range(0..INSTANCES));
        let known = if self.rng.random_bool(self.bare_share) {
            let key = bare_key(&nonce);
            let members: Vec<_> = (0..INSTANCES).map(|i| (InstanceId(i), ZoneId(i))).collect();
            let (home, mirror) = pair_for_tokenless_key(key.id(), &members);
            self.known(key, home, mirror)
        } else {
            let mirror = InstanceId((home.0 + self.rng.random_range(1..INSTANCES)) % INSTANCES);
            let mirror = self.rng.random_bool(0.9).then_some(mirror);
            let token = ClaimToken {
                home,
                home_boot: self.boots[home.index()],
                mirror: mirror.map(|m| (m, self.boots[m.index()])),
                issued_ms: self.next_number / 4,
            };
            self.known(key_of(&token, &nonce), home, mirror)
        };
        self.keys.push(known);
    }

    fn known(&self, key: RequestKey, home: InstanceId, mirror: Option<InstanceId>) -> Known {
        Known {
            key,
            home,
            mirror,
            issued_at_ms: self.now_ms,
        }
    }

    /// Picks a key that its caller may still send.
    fn pick_key(&mut self) -> Option<Known> {
        let now_ms = self.now_ms;
        let is_sent = |k: &&Known| k.key.token.is_some() || now_ms < k.issued_at_ms + HORIZON_MS;
        let sent: Vec<_> = self.keys.iter().rev().take(8).filter(is_sent).collect();
        sent.choose(&mut self.rng).map(|known| **known)
    }

    fn resend(&mut self) -> Step {
        let Some(known) = self.pick_key() else {
            return Ok(());
        };
        // An instance that took over a hand-over answers for the home at times.
        let at = if self.rng.random_bool(0.8) {
            known.home
        } else {
            self.any_instance()
        };
        let (boot, table) = self.pick_run(at);
        match table.begin(&known.key, 1) {
            BeginReply::Claimed(claim) => self.claimed(known, boot, claim),
            BeginReply::Running(running) => self.waiting.push((known, running)),
            BeginReply::Finished(kept) => {
                self.check_body(&known, &kept.body)?;
                self.tell(&known, Outcome::Answer)?;
            }
            BeginReply::Fenced => self.tell(&known, Outcome::NotRun)?,
            BeginReply::AlreadyRan | BeginReply::Unknown(_) => {
                self.tell(&known, Outcome::Unknown)?
            }
            BeginReply::KeyReused => {
                return Err(Violation("a key was taken for another request's"));
            }
        }
        Ok(())
    }

    /// Picks the run of an instance that a caller reaches, which at times is a frozen one that thawed.
    fn pick_run(&mut self, id: InstanceId) -> (BootId, ClaimTable) {
        let frozen: Vec<_> = self.frozen.iter().filter(|run| run.0 == id).collect();
        match frozen.choose(&mut self.rng) {
            Some((_, boot, table)) if self.rng.random_bool(0.1) => (*boot, table.clone()),
            _ => (self.boots[id.index()], self.tables[id.index()].clone()),
        }
    }

    fn claimed(&mut self, known: Known, boot: BootId, claim: Claim) {
        let attempt = self.number();
        if known.mirror.is_some() {
            let message = Message::MirrorClaim {
                attempt,
                known,
                home_boot: boot,
            };
            self.messages.push(message);
        }
        let confirmed = claim.mirror().is_none() || self.fault == Fault::SendBeforeAcknowledged;
        self.attempts.push(Attempt {
            number: attempt,
            known,
            boot,
            claim,
            confirmed,
        });
    }

    fn any_instance(&mut self) -> InstanceId {
        InstanceId(self.rng.random_range(0..INSTANCES))
    }

    fn fence(&mut self) -> Step {
        let Some(known) = self.pick_key() else {
            return Ok(());
        };
        let at = self.any_instance();
        let (_, table) = self.pick_run(at);
        let outcome = match table.fence(&known.key, 1) {
            FenceReply::Claimed if self.fault == Fault::FenceIgnoresClaim => Outcome::NotRun,
            FenceReply::KeyReused => return Err(Violation("a key was taken for another's")),
            reply => reply.outcome().unwrap(),
        };
        self.tell(&known, outcome)
    }

    fn deliver(&mut self) -> Step {
        if self.messages.is_empty() {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(at);
        if self.rng.random_bool(0.1) {
            return Ok(());
        }
        let repeated = self.rng.random_bool(0.15);
        let again = repeated.then(|| message.clone());
        self.messages.extend(again);
        match message {
            Message::MirrorClaim {
                attempt,
                known,
                home_boot,
            } => {
                // Either the mirror itself or an instance that took its claims over.
                let at = if self.rng.random_bool(0.9) {
                    known.mirror
                } else {
                    None
                };
                let at = at.unwrap_or_else(|| self.any_instance());
                let table = &self.tables[at.index()];
                let reply = table.mirror_claim(&known.key, 1, known.home, home_boot);
                self.messages.push(Message::Acknowledged { attempt, reply });
            }
            Message::Acknowledged { attempt, reply } => return self.acknowledged(attempt, reply),
            Message::HandOver { to, part } => {
                self.tables[to.index()].import(part);
            }
            Message::BareHandOver { sent_ms, .. } if self.now_ms > sent_ms + HORIZON_MS => {}
            Message::BareHandOver {
                from,
                to,
                boot,
                records,
                ..
            } => self.tables[to.index()].import_tokenless(from, boot, records),
            Message::Copy { to, known } => {
                let copy = answer(&body(&known));
                self.tables[to.index()].store_answer(&known.key, copy);
            }
            Message::Abandoned { known, home_boot } => {
                if let Some(mirror) = known.mirror {
                    let table = &self.tables[mirror.index()];
                    table.store_fence(&known.key, known.home, home_boot);
                }
            }
        }
        Ok(())
    }

    fn acknowledged(&mut self, number: u64, reply: MirrorReply) -> Step {
        let Some(at) = self.attempts.iter().position(|a| a.number == number) else {
            return Ok(());
        };
        match self.attempts[at].claim.confirm_mirror(reply) {
            Ok(()) => {
                self.attempts[at].confirmed = true;
                Ok(())
            }
            Err(outcome) => {
                let attempt = self.attempts.swap_remove(at);
                self.tell(&attempt.known, outcome)
            }
        }
    }

    fn give_up(&mut self) -> Step {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.attempts.len());
        let known = self.attempts[at].known;
        if self.fault != Fault::TimeoutKeepsClaim {
            let attempt = self.attempts.swap_remove(at);
            attempt.claim.abandon();
            self.messages.push(Message::Abandoned {
                known,
                home_boot: attempt.boot,
            });
        }
        self.tell(&known, Outcome::NotRun)
    }

    fn start(&mut self) -> Step {
        let ready: Vec<_> = (0..self.attempts.len())
            .filter(|at| self.attempts[*at].confirmed)
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
                *self.runs.entry(attempt.known.key.id()).or_default() += 1;
                self.flying.push((attempt.known, attempt.boot, started));
                self.check()
            }
            Err(_) => self.tell(&attempt.known, Outcome::NotRun),
        }
    }

    fn finish(&mut self) -> Step {
        if self.flying.is_empty() {
            return Ok(());
        }
        let at = self.rng.random_range(0..self.flying.len());
        let (known, _, started) = self.flying.swap_remove(at);
        if self.rng.random_bool(0.3) {
            started.finish_unknown();
            return self.tell(&known, Outcome::Unknown);
        }
        started.finish(answer(&body(&known)));
        let to = self.any_instance();
        self.messages.push(Message::Copy { to, known });
        self.tell(&known, Outcome::Answer)
    }

    fn restart(&mut self) {
        let id = self.any_instance();
        let old = self.boots[id.index()];
        if self.fault != Fault::BootIdReused {
            self.boots[id.index()] = BootId(self.number());
        }
        let tokenless_history = match self.fault {
            Fault::BlankTakesBareKeys => TokenlessHistory::Complete,
            _ => TokenlessHistory::Unknown,
        };
        let table = self.new_table(id, tokenless_history);
        let replaced = std::mem::replace(&mut self.tables[id.index()], table);
        // A frozen process may go on with what it held; otherwise that dies with it.
        let is_frozen = self.rng.random_bool(0.5);
        if is_frozen {
            self.frozen.push((id, old, replaced));
        }
        let lives = |k: &Known, boot| boot != old || k.home != id || is_frozen;
        self.attempts.retain(|a| lives(&a.known, a.boot));
        self.flying.retain(|(known, boot, _)| lives(known, *boot));
    }

    fn stop(&mut self) {
        let (id, to) = (self.any_instance(), self.any_instance());
        let table = &self.tables[id.index()];
        let parts = table.export().into_iter();
        self.messages
            .extend(parts.map(|part| Message::HandOver { to, part }));
        for partner in (0..INSTANCES).map(InstanceId).filter(|p| *p != id) {
            let message = table
                .export_tokenless(partner)
                .map(|records| Message::BareHandOver {
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
            // The reply may be lost.
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

    fn tell_waiting(&mut self) -> Step {
        let waiting = std::mem::take(&mut self.waiting);
        for (known, running) in waiting {
            match running.result() {
                None => self.waiting.push((known, running)),
                Some(result) => {
                    if let ClaimResult::Answer(kept) = &result {
                        self.check_body(&known, &kept.body)?;
                    }
                    self.tell(&known, result.outcome())?;
                }
            }
        }
        Ok(())
    }

    fn check_body(&self, known: &Known, found: &[u8]) -> Step {
        if found == body(known).as_bytes() {
            Ok(())
        } else {
            Err(Violation("an answer of another key was returned"))
        }
    }

    fn tell(&mut self, known: &Known, outcome: Outcome) -> Step {
        *self.told.entry(outcome).or_default() += 1;
        let ran = self.runs.contains_key(&known.key.id());
        match outcome {
            Outcome::NotRun => {
                self.told_not_run.insert(known.key.id());
            }
            Outcome::Answer if !ran => return Err(Violation("an answer without a run")),
            _ => {}
        }
        self.check()
    }
}

fn body(known: &Known) -> String {
    known.key.id().to_string()
}
