use std::collections::HashMap;

use laburnumdeal_model::{
    AuditRecord, Change, CommandId, Configuration, Digest, Refusal, Submission, Term, Topology,
    Verdict, Version,
};

use crate::answers::{Answer, CommandIdState, change_digest, short_text};
use crate::state::LatestChange;
use crate::{Committed, Entry, Payload, State};

/// Name of the operator recorded for commands that the leader submits itself, such as drain steps.
pub(crate) const LEADER_OPERATOR: &str = "laburnumdeal";

/// Decides a batch of submissions in order; each is checked against the configuration that the
/// earlier ones lead to.
pub(crate) struct Decider<'a> {
    state: &'a State,
    topology: &'a Topology,
    term: Term,
    now_ms: u64,
    configuration: Configuration,
    chain: Digest,
    latest_change: Option<LatestChange>,
    batch_answers: HashMap<CommandId, Answer>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

/// Answer to a submission and when to send it.
pub(crate) enum Decision {
    /// The answer must wait until the batch is committed.
    AfterCommit(Committed),
    /// The answer can be sent at once, since it appends nothing.
    Immediate(Committed),
}

impl<'a> Decider<'a> {
    /// Starts an empty batch that continues `state`.
    pub fn new(state: &'a State, topology: &'a Topology, term: Term, now_ms: u64) -> Self {
        Self {
            state,
            topology,
            term,
            now_ms: now_ms.max(state.at_ms),
            configuration: Configuration::clone(&state.configuration),
            chain: state.chain,
            latest_change: state.winner.clone(),
            batch_answers: HashMap::new(),
            entries: Vec::new(),
        }
    }

    /// Returns whether a submission can only be decided after the batch is committed. A revert
    /// needs the undo history, which contains committed changes only.
    pub fn must_wait(&self, submission: &Submission) -> bool {
        matches!(submission.change, Change::Revert { .. }) && !self.entries.is_empty()
    }

    /// Decides one submission and adds its entry, if any, to the batch.
    pub fn decide(&mut self, submission: &Submission) -> Decision {
        if let Some(earlier) = self.earlier_answer(submission) {
            return earlier;
        }
        let outcome = self.outcome(submission);
        if submission.dry_run {
            return Decision::Immediate(self.dry_run(outcome));
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
            self.latest_change = Some(LatestChange {
                text: short_text(&submission.change),
                operator: submission.operator.clone(),
            });
        }
        Decision::AfterCommit(self.record(submission, verdict))
    }

    /// Returns the first answer if the submission repeats an earlier one: same id and same change.
    fn earlier_answer(&self, submission: &Submission) -> Option<Decision> {
        let digest = change_digest(&submission.change);
        if let Some(answer) = self.batch_answers.get(&submission.command_id)
            && answer.change == digest
        {
            return Some(Decision::AfterCommit(answer.committed(true)));
        }
        match self.state.answers.find(&submission.command_id) {
            CommandIdState::Answered(answer) if answer.change == digest => {
                Some(Decision::Immediate(answer.committed(true)))
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
            CommandIdState::Answered(answer) => Some(answer.text.clone()),
            CommandIdState::Forgotten => {
                return Err(Refusal::CommandTooOld {
                    command_id: id.clone(),
                });
            }
            CommandIdState::New => self.batch_answers.get(id).map(|answer| answer.text.clone()),
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
                let latest = self.latest_change.clone();
                Err(Refusal::Superseded {
                    base,
                    current,
                    winner: latest.as_ref().map_or(String::new(), |l| l.text.clone()),
                    operator: latest.map_or(String::new(), |l| l.operator),
                })
            }
            _ => Ok(()),
        }
    }

    fn revert(&self, to: Version, force: bool) -> Result<Configuration, Refusal> {
        let current = self.state.configuration.version;
        let Some(next) = self.state.reverted_to(to) else {
            return Err(Refusal::VersionNotKept {
                to,
                oldest: self.state.undo.oldest_version(current),
                newest: current,
            });
        };
        if !force {
            next.check_usable_upstreams(&self.configuration, self.topology)?;
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
        let mut record = AuditRecord {
            index,
            command_id: submission.command_id.clone(),
            operator: submission.operator.clone(),
            at_ms: self.now_ms,
            base: submission.base,
            change: submission.change.clone(),
            verdict,
            chain: Digest::default(),
        };
        record.chain = record.expected_chain(self.chain);
        self.chain = record.chain;
        let answer = Answer::new(&record, self.configuration.version);
        let committed = answer.committed(false);
        self.batch_answers
            .entry(submission.command_id.clone())
            .or_insert(answer);
        self.entries.push(Entry {
            index,
            term: self.term,
            payload: Payload::Command(Box::new(record)),
        });
        committed
    }
}
