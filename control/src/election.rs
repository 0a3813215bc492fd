use std::sync::Arc;

use laburnumdeal_model::{InstanceId, Term};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, sleep_until};

use crate::core::Core;
use crate::volatile_state::VolatileState;
use crate::{ControlReply, ControlRequest, Disk, Entry, Header, Payload, PeerLink, Role, Vote};

/// Request for a vote or a pre-vote.
#[derive(Clone, Copy)]
pub(crate) struct VoteRequest {
    pub header: Header,
    pub pre_vote: bool,
    pub transfer: bool,
    pub last_index: u64,
    pub last_term: Term,
}

/// Fraction of the election timeout that bounds the random part of a short wait: that after the
/// start of a process, and that before an unsuccessful pre-vote is repeated.
const SHORT_WAIT_FRACTION: u64 = 4;

/// Number of attempts without a leader that follow one another after short waits. Later ones wait
/// for full timeouts, so that a voter that is cut off for long sends little.
const SHORT_WAIT_ATTEMPTS: u32 = 16;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Starts an election whenever a voter has not heard from a leader for a randomized election
    /// timeout, and checks the quorum while this replica leads.
    pub async fn run_elections(self: Arc<Self>, mut generator: ChaCha8Rng) {
        let process_start = self.volatile().election_timer_start;
        let mut pre_votes = JoinSet::new();
        loop {
            let wait = self.election_wait(process_start, &mut generator);
            let deadline = self.volatile().election_timer_start + wait;
            let deadline = deadline.max(Instant::now() + Duration::from_millis(1));
            let won_term = tokio::select! {
                biased;
                term = next_won(&mut pre_votes) => Some(term),
                () = sleep_until(deadline) => None,
            };
            let (role, is_voter, election_timer_start) = {
                let volatile = self.volatile();
                (
                    volatile.role,
                    volatile.is_voter(),
                    volatile.election_timer_start,
                )
            };
            if role == Role::Leader {
                self.check_quorum();
                tokio::time::sleep(self.settings.heartbeat_interval()).await;
            } else if !is_voter {
                self.volatile().election_timer_start = Instant::now();
            } else if let Some(term) = won_term {
                self.campaign(term, false).await;
            } else if election_timer_start.elapsed() >= wait {
                let term = self.volatile().begin_election_attempt();
                let core = self.clone();
                // An answer may take longer than the wait before the next attempt.
                pre_votes.spawn(async move {
                    let is_won = core.request_votes(term, true, false).await;
                    is_won.then_some(term)
                });
            }
        }
    }

    /// Returns the time from the start of the election timer to the next attempt.
    fn election_wait(&self, process_start: Instant, generator: &mut ChaCha8Rng) -> Duration {
        let timeout_ms = self.settings.election_timeout_ms;
        let short_ms = timeout_ms / SHORT_WAIT_FRACTION + 1;
        let (attempts, timer_start) = {
            let volatile = self.volatile();
            (volatile.election_attempts, volatile.election_timer_start)
        };
        let wait_ms = match attempts {
            0 if timer_start == process_start => timeout_ms + generator.random_range(0..short_ms),
            1..=SHORT_WAIT_ATTEMPTS => generator.random_range(short_ms / 2..short_ms),
            _ => timeout_ms + generator.random_range(0..timeout_ms),
        };
        Duration::from_millis(wait_ms)
    }

    /// Stops leading when no majority has responded for two election timeouts.
    fn check_quorum(&self) {
        let limit = self.settings.election_timeout() * 2;
        let quorum_lost = {
            let volatile = self.volatile();
            volatile.role == Role::Leader
                && volatile.leading_since.elapsed() > limit
                && !volatile.majority_responded_within(limit)
        };
        if quorum_lost {
            self.step_down("no majority of the voters responds");
        }
    }

    /// Campaigns in the term after `term`, in which this replica won the pre-vote or was asked to
    /// take over by the leader itself.
    async fn campaign(self: &Arc<Self>, term: Term, transfer: bool) {
        let guard = self.lock_store().await;
        let (newest, role, leader_active) = {
            let volatile = self.volatile();
            let leader_active = !transfer && self.leader_may_hold_lease(&volatile);
            (volatile.vote.term, volatile.role, leader_active)
        };
        // A leader that was heard during the pre-vote may rely on the promise to give no vote.
        if newest != term || role == Role::Stopped || leader_active {
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
            volatile.restart_election_timer();
        }
        drop(guard);
        if self.request_votes(vote.term, false, transfer).await {
            self.become_leader(vote.term).await;
        }
    }

    /// Asks the other voters for their votes in `term`, or for pre-votes for the term after it;
    /// returns whether a majority granted them.
    async fn request_votes(self: &Arc<Self>, term: Term, pre_vote: bool, transfer: bool) -> bool {
        let (requests, majority) = {
            let volatile = self.volatile();
            let requests = vote_requests(self, &volatile, term, pre_vote, transfer);
            (requests, volatile.members.majority())
        };
        let mut calls = JoinSet::new();
        for (to, request) in requests {
            let core = self.clone();
            calls.spawn(async move {
                core.call(to, request, core.settings.election_timeout())
                    .await
            });
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

    /// Becomes leader of a term that a majority voted for, and appends the first entry of the term.
    async fn become_leader(self: &Arc<Self>, term: Term) {
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
            warn!(self.log, "won an election but cannot store the first entry of the term";
                "term" => term.0);
            self.step_down("cannot store the first entry of the term");
            return;
        }
        {
            let mut volatile = self.volatile();
            volatile.role = Role::Leader;
            volatile.leader = Some(self.settings.me);
            volatile.term_start_index = index;
            volatile.leading_since = Instant::now();
            volatile.progress.clear();
            volatile.call_deduplicator.start_term(term);
            self.advance_commit_index(&mut volatile);
        }
        info!(self.log, "leads"; "term" => term.0);
        self.spawn_replication_tasks();
        self.notify();
    }

    /// Answers a vote or pre-vote request. The vote is persisted before it is granted.
    pub async fn on_vote(&self, request: VoteRequest) -> ControlReply {
        let guard = self.lock_store().await;
        if let Err(reply) = self.check_header(&request.header) {
            return reply;
        }
        let (term, granted) = {
            let volatile = self.volatile();
            (
                volatile.vote.term,
                self.would_grant_vote(&volatile, &request),
            )
        };
        if request.pre_vote && granted {
            let mut volatile = self.volatile();
            volatile.hold_pre_vote(request.header.sender, self.settings.election_timeout());
        }
        if request.pre_vote || request.header.term < term || self.has_active_leader(&request) {
            return ControlReply::Vote { term, granted };
        }
        let granted_to = match granted {
            true => Some(request.header.sender),
            false if request.header.term > term => None,
            false => return ControlReply::Vote { term, granted },
        };
        let vote = Vote {
            term: request.header.term,
            voted_for: granted_to,
        };
        let (_guard, saved) = self.save_vote(guard, vote).await;
        let mut volatile = self.volatile();
        if request.header.term > term {
            volatile.step_down();
        }
        if granted && saved.is_ok() {
            volatile.restart_election_timer();
        }
        drop(volatile);
        self.notify();
        ControlReply::Vote {
            term: if saved.is_ok() { vote.term } else { term },
            granted: granted && saved.is_ok(),
        }
    }

    fn has_active_leader(&self, request: &VoteRequest) -> bool {
        let volatile = self.volatile();
        !request.transfer && self.leader_may_hold_lease(&volatile)
    }

    /// Returns whether a leader may hold a lease that relies on this replica granting no vote.
    fn leader_may_hold_lease(&self, volatile: &VolatileState) -> bool {
        if volatile.cluster().is_none() {
            return false;
        }
        match volatile.role {
            Role::Leader => volatile.majority_responded_within(self.settings.election_timeout()),
            _ => volatile.last_leader_contact.elapsed() < self.settings.election_timeout(),
        }
    }

    fn would_grant_vote(&self, volatile: &VolatileState, request: &VoteRequest) -> bool {
        let own = (volatile.last_term(), volatile.last_index());
        let is_up_to_date = (request.last_term, request.last_index) >= own;
        let leader_active = !request.transfer && self.leader_may_hold_lease(volatile);
        let term = request.header.term;
        let may_vote = match volatile.vote.voted_for {
            _ if term > volatile.vote.term => true,
            voted_for => {
                term == volatile.vote.term
                    && !request.pre_vote
                    && voted_for.is_none_or(|identity| identity == request.header.sender)
            }
        };
        let hold = self.settings.election_timeout() / SHORT_WAIT_FRACTION as u32;
        // Of two that ask at the same time with equal logs, the one with the lower identity is served.
        let is_rival = volatile.election_attempts > 0
            && volatile.election_timer_start.elapsed() < hold / 2
            && (request.last_term, request.last_index) == own
            && request.header.sender > self.identity;
        let is_held =
            request.pre_vote && (is_rival || volatile.holds_pre_vote(request.header.sender, hold));
        is_up_to_date && may_vote && !leader_active && !is_held
    }

    /// Starts an election at once, at the request of the leader that transfers its leadership.
    pub async fn on_take_over(self: &Arc<Self>, header: Header) -> ControlReply {
        if let Err(reply) = self.check_header(&header) {
            return reply;
        }
        let may_campaign = {
            let volatile = self.volatile();
            volatile.vote.term == header.term
                && volatile.is_voter()
                && volatile.role == Role::Follower
        };
        if !may_campaign {
            return ControlReply::Failed;
        }
        self.campaign(header.term, true).await;
        ControlReply::Done
    }
}

/// Waits until one of the pre-votes is won, and returns its term.
async fn next_won(pre_votes: &mut JoinSet<Option<Term>>) -> Term {
    loop {
        match pre_votes.join_next().await {
            Some(Ok(Some(term))) => return term,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

fn vote_requests<L: PeerLink, D: Disk>(
    core: &Core<L, D>,
    volatile: &VolatileState,
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
        Some((core.instance_id(&member.instance)?, request))
    });
    requests.collect()
}
