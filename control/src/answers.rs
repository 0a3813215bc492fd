use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use laburnumdeal_model::{Applied, Change, CommandId, Digest, Verdict, Version};
use serde::{Deserialize, Serialize};

use crate::Committed;

/// Answers kept for resends.
const ANSWERS_KEPT: usize = 20_000;
/// Command ids that are kept after their answers, so that a resend is refused.
const FORGOTTEN_KEPT: usize = 1 << 20;
/// Longest text of a change that is kept with its answer, in characters.
const TEXT_CHARS: usize = 200;

/// First answers by command id. Bounded: an older command is known by its id's hash alone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "AnswersStored")]
pub struct Answers {
    kept: VecDeque<Arc<Answer>>,
    forgotten: VecDeque<u64>,
    #[serde(skip)]
    by_id: HashMap<CommandId, Arc<Answer>>,
    #[serde(skip)]
    forgotten_ids: HashSet<u64>,
}

/// First answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Command that was answered.
    pub command_id: CommandId,
    /// Hash of its change.
    pub change: Digest,
    /// Text of its change, cut when it is long.
    pub text: String,
    /// Position in the log.
    pub index: u64,
    /// Time of arrival at the leader, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version in force after it.
    pub version: Version,
    /// What became of it.
    pub verdict: Verdict,
}

/// What is known of a command id.
#[derive(Clone, Debug)]
pub enum Known {
    /// The id was not used.
    New,
    /// The id was used, and its answer is kept.
    Answered(Arc<Answer>),
    /// The id was used, and its answer is no longer kept.
    Forgotten,
}

/// Fields of [`Answers`] that are stored, in the same order.
#[derive(Deserialize)]
struct AnswersStored {
    kept: VecDeque<Arc<Answer>>,
    forgotten: VecDeque<u64>,
}

impl Answers {
    /// Returns what is known of a command id.
    pub fn find(&self, id: &CommandId) -> Known {
        match self.by_id.get(id) {
            Some(answer) => Known::Answered(answer.clone()),
            None if self.forgotten_ids.contains(&hash(id)) => Known::Forgotten,
            None => Known::New,
        }
    }

    /// Keeps the answer to a command whose id is new.
    pub fn insert(&mut self, applied: &Applied, version: Version) {
        if !matches!(self.find(&applied.command_id), Known::New) {
            return;
        }
        let answer = Arc::new(Answer::new(applied, version));
        self.by_id
            .insert(applied.command_id.clone(), answer.clone());
        self.kept.push_back(answer);
        while self.kept.len() > ANSWERS_KEPT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.kept.pop_front() else {
            return;
        };
        self.by_id.remove(&oldest.command_id);
        let hash = hash(&oldest.command_id);
        self.forgotten.push_back(hash);
        self.forgotten_ids.insert(hash);
        if self.forgotten.len() > FORGOTTEN_KEPT
            && let Some(dropped) = self.forgotten.pop_front()
        {
            self.forgotten_ids.remove(&dropped);
        }
    }
}

impl Answer {
    /// Returns the answer to a command as the log holds it.
    pub fn new(applied: &Applied, version: Version) -> Self {
        Self {
            command_id: applied.command_id.clone(),
            change: change_digest(&applied.change),
            text: short_text(&applied.change),
            index: applied.index,
            at_ms: applied.at_ms,
            version,
            verdict: applied.verdict.clone(),
        }
    }

    /// Returns the answer as it is given to an operator.
    pub fn committed(&self, repeated: bool) -> Committed {
        Committed {
            index: self.index,
            at_ms: self.at_ms,
            version: self.version,
            verdict: self.verdict.clone(),
            repeated,
        }
    }
}

impl From<AnswersStored> for Answers {
    fn from(stored: AnswersStored) -> Self {
        let by_id = stored
            .kept
            .iter()
            .map(|a| (a.command_id.clone(), a.clone()));
        Self {
            by_id: by_id.collect(),
            forgotten_ids: stored.forgotten.iter().copied().collect(),
            kept: stored.kept,
            forgotten: stored.forgotten,
        }
    }
}

/// Returns a hash that tells changes under one command id apart.
pub fn change_digest(change: &Change) -> Digest {
    let bytes = rmp_serde::to_vec(change).expect("plain data encodes");
    Digest::of(&[&bytes])
}

/// Returns the text of a change, cut when it is long.
pub fn short_text(change: &Change) -> String {
    let text = change.to_string();
    match text.char_indices().nth(TEXT_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

fn hash(id: &CommandId) -> u64 {
    let digest = Digest::of(&[id.as_str().as_bytes()]);
    u64::from_le_bytes(digest.0[..8].try_into().expect("eight bytes"))
}
