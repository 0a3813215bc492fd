use std::sync::Arc;

use laburnumdeal_model::{InstanceId, Term};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, sleep_until};

use crate::core::Core;
use crate::volatile::Volatile;
use crate::{ControlReply, ControlRequest, Disk, Entry, Header, Payload, PeerLink, Role, Vote};

/// What a candidate asks of a voter.
#[derive(Clone, Copy)]
pub(crate) struct VoteRequest {
    pub header: Header,
    pub pre_vote: bool,
    pub transfer: bool,
    pub last_index: u64,
    pub last_term: Term,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Stands for election whenever no leader has been heard for a random time.
    pub async fn run_elections(self: Arc<Self>, mut generator: ChaCha8Rng) {
        loop {
            let silence_ms = self.settings.election_timeout_ms
                + generator.random_range(0..self.settings.election_timeout_ms);
            let silence = Duration::from_millis(silence_ms);
            let due = self.volatile().silent_since + silence;
            sleep_until(due.max(Instant::now() + Duration::from_millis(1))).await;
            let (role, is_voter, silent_since) = {
                let volatile = self.volatile();
                (volatile.role, volatile.is_voter(), volatile.silent_since)
            };
            if role == Role::Leader {
                self.check_leading();
                tokio::time::sleep(self.settings.heartbeat()).await;
            } else if is_voter && silent_since.elapsed() >= silence {
                self.volatile().silent_since = Instant::now();
                self.stand(false).await;
            } else if !is_voter {
                self.volatile().silent_since = Instant::now();
            }
        }
    }

    /// Stops leading when no majority answers.
    fn check_leading(&self) {
        let limit = self.settings.election() * 2;
        let lost = {
            let volatile = self.volatile();
            volatile.role == Role::Leader
                && volatile.leading_since.elapsed() > limit
                && !volatile.heard_majority_within(limit)
        };
        if lost {
            self.step_down("no majority answers");
        }
    }

    /// Stands for election. A transfer comes from the leader itself, so no pre-vote is needed.
    pub async fn stand(self: &Arc<Self>, transfer: bool) {
        let term = self.volatile().vote.term;
        if !transfer && !self.ask(term, true, false).await {
            return;
        }
        let guard = self.lock_store().await;
        let (newest, role) = {
            let volatile = self.volatile();
            (volatile.vote.term, volatile.role)
        };
        if newest != term || role == Role::Stopped {
            return;
        }
        let vote = Vote {
            term: Term(term.0 + 1),
            voted_for: Some(self.identity),
        };
        let (guard, saved) = self.save_vote(guard, vote).await;
        if saved.is_err() {
            return;
        }
        {
            let mut volatile = self.volatile();
            volatile.role = Role::Candidate;
            volatile.leader = None;
            volatile.silent_since = Instant::now();
        }
        drop(guard);
        if self.ask(vote.term, false, transfer).await {
            self.lead(vote.term).await;
        }
    }

    /// Asks the other voters, and returns whether a majority agrees.
    async fn ask(self: &Arc<Self>, term: Term, pre_vote: bool, transfer: bool) -> bool {
        let (requests, majority) = {
            let volatile = self.volatile();
            let requests = vote_requests(self, &volatile, term, pre_vote, transfer);
            (requests, volatile.members.majority())
        };
        let mut calls = JoinSet::new();
        for (to, request) in requests {
            let core = self.clone();
            calls.spawn(async move { core.call(to, request, core.settings.election()).await });
        }
        let mut granted = 1;
        while granted < majority {
            match calls.join_next().await {
                Some(Ok(Ok(ControlReply::Vote {
                    term: other,
                    granted: true,
                }))) if other <= Term(term.0 + 1) => {
                    granted += 1;
                }
                Some(Ok(Ok(ControlReply::Vote { term: newer, .. }))) if newer > term => {
                    self.adopt_term(newer).await;
                    return false;
                }
                Some(_) => {}
                None => return false,
            }
        }
        true
    }

    /// Leads a term that a majority voted for.
    async fn lead(self: &Arc<Self>, term: Term) {
        let guard = self.lock_store().await;
        let first = {
            let volatile = self.volatile();
            if volatile.vote.term != term || volatile.role != Role::Candidate {
                return;
            }
            Entry {
                index: volatile.last_index() + 1,
                term,
                payload: Payload::Noop,
            }
        };
        let index = first.index;
        let (_guard, appended) = self.append(guard, vec![first]).await;
        if appended.is_err() {
            warn!(self.log, "won an election, but cannot store entries"; "term" => term.0);
            self.step_down("storage refuses entries");
            return;
        }
        {
            let mut volatile = self.volatile();
            volatile.role = Role::Leader;
            volatile.leader = Some(self.settings.me);
            volatile.first_index = index;
            volatile.leading_since = Instant::now();
            volatile.progress.clear();
            volatile.calls_seen.start(term);
            self.commit_majority(&mut volatile);
        }
        info!(self.log, "leads"; "term" => term.0);
        self.spawn_peers();
        self.notify();
    }

    /// Gives a vote, or refuses it.
    pub async fn on_vote(&self, request: VoteRequest) -> ControlReply {
        let guard = self.lock_store().await;
        if let Err(reply) = self.check_header(&request.header) {
            return reply;
        }
        let (term, granted) = {
            let volatile = self.volatile();
            (volatile.vote.term, self.would_vote(&volatile, &request))
        };
        if request.pre_vote || request.header.term < term || self.hears_leader(&request) {
            return ControlReply::Vote { term, granted };
        }
        let vote = match granted {
            true => Some(request.header.sender),
            false if request.header.term > term => None,
            false => return ControlReply::Vote { term, granted },
        };
        let vote = Vote {
            term: request.header.term,
            voted_for: vote,
        };
        let (_guard, saved) = self.save_vote(guard, vote).await;
        let mut volatile = self.volatile();
        if request.header.term > term {
            volatile.step_down();
        }
        if granted && saved.is_ok() {
            volatile.silent_since = Instant::now();
        }
        drop(volatile);
        self.notify();
        ControlReply::Vote {
            term: if saved.is_ok() { vote.term } else { term },
            granted: granted && saved.is_ok(),
        }
    }

    fn hears_leader(&self, request: &VoteRequest) -> bool {
        let volatile = self.volatile();
        !request.transfer && self.leader_is_fresh(&volatile)
    }

    /// Returns whether a leader may hold a lease that this replica supports.
    fn leader_is_fresh(&self, volatile: &Volatile) -> bool {
        if volatile.cluster().is_none() {
            return false;
        }
        match volatile.role {
            Role::Leader => volatile.heard_majority_within(self.settings.election()),
            _ => volatile.leader_heard_at.elapsed() < self.settings.election(),
        }
    }

    fn would_vote(&self, volatile: &Volatile, request: &VoteRequest) -> bool {
        let own = (volatile.last_term(), volatile.last_index());
        let has_log = (request.last_term, request.last_index) >= own;
        let fresh = !request.transfer && self.leader_is_fresh(volatile);
        let term = request.header.term;
        let free = match volatile.vote.voted_for {
            _ if term > volatile.vote.term => true,
            voted_for => {
                term == volatile.vote.term
                    && !request.pre_vote
                    && voted_for.is_none_or(|identity| identity == request.header.sender)
            }
        };
        has_log && free && !fresh
    }

    /// Stands for election when the leader hands over.
    pub async fn on_take_over(self: &Arc<Self>, header: Header) -> ControlReply {
        if let Err(reply) = self.check_header(&header) {
            return reply;
        }
        let may = {
            let volatile = self.volatile();
            volatile.vote.term == header.term
                && volatile.is_voter()
                && volatile.role == Role::Follower
        };
        if !may {
            return ControlReply::Failed;
        }
        self.stand(true).await;
        ControlReply::Done
    }
}

fn vote_requests<L: PeerLink, D: Disk>(
    core: &Core<L, D>,
    volatile: &Volatile,
    term: Term,
    pre_vote: bool,
    transfer: bool,
) -> Vec<(InstanceId, ControlRequest)> {
    let others = volatile
        .members
        .voters()
        .filter(|m| m.identity != core.identity);
    let requests = others.filter_map(|member| {
        let mut header = core.header(volatile, member.identity);
        header.term = if pre_vote { Term(term.0 + 1) } else { term };
        let request = ControlRequest::Vote {
            header,
            pre_vote,
            transfer,
            last_index: volatile.last_index(),
            last_term: volatile.last_term(),
        };
        Some((core.instance(&member.instance)?, request))
    });
    requests.collect()
}
