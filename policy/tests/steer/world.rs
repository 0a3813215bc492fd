//! Upstreams that work faster on the objects that they handled last, entry instances that choose
//! among them, and callers that arrive in a pattern; all on a clock that the test moves.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, Decision, LoadBalancer, Selection, SharedReport, UpstreamLoad, UpstreamRecord,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::setup::{TARGET, ask, book};

/// Work on an object that an upstream does not know.
const WORK_MS: u64 = 480;
/// Work on an object that it knows.
const KNOWN_WORK_MS: u64 = 144;
/// Requests that an upstream queues.
const QUEUE: usize = 27;
/// Time after which the caller is answered in any case.
const TIMEOUT_MS: u64 = 800;

/// What became of the requests of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_target: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Tally {
    pub fn share_in_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.asked.max(1))
    }
}

struct Upstream {
    slots: usize,
    running: usize,
    waiting: VecDeque<usize>,
    known: VecDeque<u64>,
    remembers: usize,
}

struct Request {
    object: u64,
    entry: usize,
    decision: Decision,
    upstream: usize,
    sent_ms: u64,
    done: bool,
}

/// Event at a time; the earliest comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event(std::cmp::Reverse<(u64, usize, bool)>);

pub struct World {
    pub start: Instant,
    pub tally: Tally,
    entries: Vec<LoadBalancer>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    events: BinaryHeap<Event>,
    generator: ChaCha8Rng,
    objects: u64,
    /// Time between two exchanges of news between the instances, if there are any.
    pub share_every_ms: Option<u64>,
}

impl World {
    /// Returns `entries` instances of one region before the upstreams of `records`.
    pub fn new(records: &[UpstreamRecord], entries: usize, objects: u64, remembers: usize) -> Self {
        let start = Instant::now();
        let books = (0..entries).map(|number| book(&format!("e-{number}"), "a", records, start));
        let upstreams = records.iter().map(|record| Upstream {
            slots: record.slots as usize,
            running: 0,
            waiting: VecDeque::new(),
            known: VecDeque::new(),
            remembers,
        });
        Self {
            start,
            tally: Tally::default(),
            entries: books.collect(),
            upstreams: upstreams.collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            generator: ChaCha8Rng::seed_from_u64(7),
            objects,
            share_every_ms: None,
        }
    }

    /// Plays `for_ms` of a pattern: requests a second by the time in milliseconds. Counts from
    /// `count_from_ms` on.
    pub fn play(&mut self, for_ms: u64, count_from_ms: u64, per_s: impl Fn(u64) -> f64) {
        for now_ms in 0..for_ms {
            if now_ms == count_from_ms {
                self.tally = Tally::default();
            }
            if self.share_every_ms.is_some_and(|every| now_ms % every == 0) {
                self.share_reports(now_ms);
            }
            while self
                .events
                .peek()
                .is_some_and(|event| event.0.0.0 <= now_ms)
            {
                let event = self.events.pop().unwrap().0.0;
                self.happens(event);
            }
            let mut due = per_s(now_ms) / 1_000.0;
            while due > 0.0 {
                if self.generator.random::<f64>() < due {
                    self.arrive(now_ms);
                }
                due -= 1.0;
            }
        }
    }

    /// Tells every instance what the others heard within two periods.
    fn share_reports(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let window_ms = 2 * self.share_every_ms.unwrap_or_default();
        let since = self.at(now_ms.saturating_sub(window_ms));
        let mut all = SharedReport::default();
        for book in &mut self.entries {
            let report = book.take_report(since, now);
            all.loads.extend(report.loads);
            all.objects.extend(report.objects);
        }
        for book in &mut self.entries {
            book.merge_report(&all, now);
        }
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }

    fn arrive(&mut self, now_ms: u64) {
        self.tally.asked += 1;
        let object = self.generator.random_range(0..self.objects);
        let entry = self.generator.random_range(0..self.entries.len());
        let now = self.at(now_ms);
        let Selection::Send(decision) = self.entries[entry].choose(&ask(object), now) else {
            self.tally.refused += 1;
            return;
        };
        self.entries[entry].begin_attempt(&decision, now);
        let id = self.entries[entry].endpoint(decision.upstream).0;
        let upstream: usize = id.strip_prefix("u-").unwrap().parse().unwrap();
        let number = self.requests.len();
        self.requests.push(Request {
            object,
            entry,
            decision,
            upstream,
            sent_ms: now_ms,
            done: false,
        });
        if self.upstreams[upstream].waiting.len() >= QUEUE {
            self.tally.refused += 1;
            self.finish(number, now_ms, AttemptOutcome::Shed);
            return;
        }
        self.upstreams[upstream].waiting.push_back(number);
        let timeout = Event(std::cmp::Reverse((now_ms + TIMEOUT_MS, number, true)));
        self.events.push(timeout);
        self.fill(upstream, now_ms);
    }

    /// Starts waiting requests on free slots.
    fn fill(&mut self, upstream: usize, now_ms: u64) {
        while self.upstreams[upstream].running < self.upstreams[upstream].slots {
            let Some(number) = self.upstreams[upstream].waiting.pop_front() else {
                return;
            };
            if self.requests[number].done {
                continue;
            }
            let object = self.requests[number].object;
            let server = &mut self.upstreams[upstream];
            let known = server.known.iter().position(|other| *other == object);
            let work_ms = match known {
                Some(position) => {
                    server.known.remove(position);
                    KNOWN_WORK_MS
                }
                None => WORK_MS,
            };
            server.known.push_back(object);
            if server.known.len() > server.remembers {
                server.known.pop_front();
            }
            server.running += 1;
            let ends = Event(std::cmp::Reverse((now_ms + work_ms, number, false)));
            self.events.push(ends);
        }
    }

    fn happens(&mut self, (now_ms, number, is_timeout): (u64, usize, bool)) {
        let upstream = self.requests[number].upstream;
        if !is_timeout {
            self.upstreams[upstream].running -= 1;
        }
        if !self.requests[number].done {
            let took_ms = now_ms - self.requests[number].sent_ms;
            if is_timeout {
                self.tally.failed += 1;
                self.finish(number, now_ms, AttemptOutcome::TimedOut);
            } else {
                match Duration::from_millis(took_ms) <= TARGET {
                    true => self.tally.in_target += 1,
                    false => self.tally.late += 1,
                }
                let took_ms = took_ms as f64;
                let failed = false;
                self.finish(number, now_ms, AttemptOutcome::Answered { took_ms, failed });
            }
        }
        self.fill(upstream, now_ms);
    }

    fn finish(&mut self, number: usize, now_ms: u64, outcome: AttemptOutcome) {
        let now = self.at(now_ms);
        let request = &mut self.requests[number];
        request.done = true;
        let server = &self.upstreams[request.upstream];
        let load = UpstreamLoad {
            running: server.running as u32,
            waiting: server.waiting.len() as u32,
            slots: server.slots as u32,
        };
        let book = &mut self.entries[request.entry];
        if outcome != AttemptOutcome::TimedOut {
            book.record_load(request.decision.upstream, load, now);
        }
        book.end_attempt(&request.decision, "all", request.object, outcome, now);
    }
}
