use std::collections::HashMap;

use laburnumdeal_model::{
    Applied, Change, CommandId, Configuration, Digest, Refusal, Submission, Term, Topology,
    Verdict, Version,
};

use crate::answers::{Answer, Known, change_digest, short_text};
use crate::state::Winner;
use crate::{Committed, Entry, Payload, State};

/// Operator of the commands that the leader makes by itself.
pub(crate) const LEADER_OPERATOR: &str = "laburnumdeal";

/// Reaches verdicts on a batch of submissions, each in the light of those before it.
pub(crate) struct Decider<'a> {
    state: &'a State,
    topology: &'a Topology,
    term: Term,
    now_ms: u64,
    configuration: Configuration,
    chain: Digest,
    winner: Option<Winner>,
    batch_ids: HashMap<CommandId, Answer>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

/// What a submission leads to.
pub(crate) enum Decision {
    /// The answer is given once the batch is committed.
    AfterCommit(Committed),
    /// The answer is known already.
    Now(Committed),
}

impl<'a> Decider<'a> {
    /// Starts a batch after the last entry of `state`.
    pub fn new(state: &'a State, topology: &'a Topology, term: Term, now_ms: u64) -> Self {
        Self {
            state,
            topology,
            term,
            now_ms: now_ms.max(state.at_ms),
            configuration: Configuration::clone(&state.configuration),
            chain: state.chain,
            winner: state.winner.clone(),
            batch_ids: HashMap::new(),
            entries: Vec::new(),
        }
    }

    /// Returns whether a submission must wait for the batch so far to be committed.
    pub fn must_wait(&self, submission: &Submission) -> bool {
        matches!(submission.change, Change::Revert { .. }) && !self.entries.is_empty()
    }

    /// Decides one submission and adds its entry to the batch.
    pub fn decide(&mut self, submission: &Submission) -> Decision {
        if let Some(known) = self.known(submission) {
            return known;
        }
        let outcome = self.outcome(submission);
        if submission.dry_run {
            return Decision::Now(self.dry_run(outcome));
        }
        let (verdict, next) = match outcome {
            Ok(next) => (
                Verdict::Accepted {
                    version: next.version,
                },
                Some(next),
            ),
            Err(refusal) => (Verdict::Refused(refusal), None),
        };
        if let Some(next) = next {
            self.configuration = next;
            self.winner = Some(Winner {
                text: short_text(&submission.change),
                operator: submission.operator.clone(),
            });
        }
        Decision::AfterCommit(self.record(submission, verdict))
    }

    /// Returns the first answer when the submission is a resend.
    fn known(&self, submission: &Submission) -> Option<Decision> {
        let digest = change_digest(&submission.change);
        if let Some(answer) = self.batch_ids.get(&submission.command_id)
            && answer.change == digest
        {
            return Some(Decision::AfterCommit(answer.committed(true)));
        }
        match self.state.answers.find(&submission.command_id) {
            Known::Answered(answer) if answer.change == digest => {
                Some(Decision::Now(answer.committed(true)))
            }
            _ => None,
        }
    }

    fn outcome(&self, submission: &Submission) -> Result<Configuration, Refusal> {
        self.check_id(&submission.command_id)?;
        let is_step = matches!(submission.change, Change::DrainStep { .. });
        if is_step && submission.operator != LEADER_OPERATOR {
            return Err(Refusal::NotAllowed {
                operator: submission.operator.clone(),
            });
        }
        self.check_base(submission.base)?;
        match submission.change {
            Change::Revert { to } => self.revert(to, submission.force),
            ref change => {
                self.configuration
                    .apply(change, self.topology, self.now_ms, submission.force)
            }
        }
    }

    fn check_id(&self, id: &CommandId) -> Result<(), Refusal> {
        let first = match self.state.answers.find(id) {
            Known::Answered(answer) => Some(answer.text.clone()),
            Known::Forgotten => {
                return Err(Refusal::CommandTooOld {
                    command_id: id.clone(),
                });
            }
            Known::New => self.batch_ids.get(id).map(|answer| answer.text.clone()),
        };
        match first {
            Some(first) => Err(Refusal::CommandIdReused {
                command_id: id.clone(),
                first,
            }),
            None => Ok(()),
        }
    }

    fn check_base(&self, base: Option<Version>) -> Result<(), Refusal> {
        let current = self.configuration.version;
        match base {
            Some(base) if base != current => {
                let winner = self.winner.clone();
                Err(Refusal::Superseded {
                    base,
                    current,
                    winner: winner.as_ref().map_or(String::new(), |w| w.text.clone()),
                    operator: winner.map_or(String::new(), |w| w.operator),
                })
            }
            _ => Ok(()),
        }
    }

    fn revert(&self, to: Version, force: bool) -> Result<Configuration, Refusal> {
        let current = self.state.configuration.version;
        let Some(next) = self.state.reverted(to) else {
            return Err(Refusal::VersionNotKept {
                to,
                oldest: self.state.undo.oldest(current),
                newest: current,
            });
        };
        if !force {
            next.check_room(&self.configuration, self.topology)?;
        }
        Ok(next)
    }

    fn dry_run(&self, outcome: Result<Configuration, Refusal>) -> Committed {
        let verdict = match outcome {
            Ok(next) => Verdict::WouldAccept {
                version: next.version,
            },
            Err(refusal) => Verdict::Refused(refusal),
        };
        Committed {
            index: 0,
            at_ms: self.now_ms,
            version: self.configuration.version,
            verdict,
            repeated: false,
        }
    }

    fn record(&mut self, submission: &Submission, verdict: Verdict) -> Committed {
        let index = self.state.index + 1 + self.entries.len() as u64;
        let mut applied = Applied {
            index,
            command_id: submission.command_id.clone(),
            operator: submission.operator.clone(),
            at_ms: self.now_ms,
            base: submission.base,
            change: submission.change.clone(),
            verdict,
            chain: Digest::default(),
        };
        applied.chain = applied.expected_chain(self.chain);
        self.chain = applied.chain;
        let answer = Answer::new(&applied, self.configuration.version);
        let committed = answer.committed(false);
        self.batch_ids
            .entry(submission.command_id.clone())
            .or_insert(answer);
        self.entries.push(Entry {
            index,
            term: self.term,
            payload: Payload::Command(Box::new(applied)),
        });
        committed
    }
}
