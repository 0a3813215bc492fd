use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use laburnumdeal_model::{AuditRecord, Change, CommandId, Digest, Verdict, Version};
use serde::{Deserialize, Serialize};

use crate::Committed;

/// Maximum number of answers kept for commands that are sent again.
const MAX_ANSWERS: usize = 20_000;
/// Maximum number of command ids kept after their answers were dropped, so that a command sent
/// again is refused instead of run twice.
const MAX_FORGOTTEN_IDS: usize = 1 << 20;
/// Maximum length of a change's text kept with its answer, in characters.
const MAX_TEXT_CHARS: usize = 200;

/// Bounded cache of the first answer to each command id. Once an answer is evicted, only a hash of
/// its id is kept.
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
    /// Text of its change, truncated when it is long.
    pub text: String,
    /// Index of the command in the log.
    pub index: u64,
    /// Time when the leader decided the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version of the configuration after it.
    pub version: Version,
    /// Whether the command was accepted, or why it was refused.
    pub verdict: Verdict,
}

/// State of a command id in the cache.
#[derive(Clone, Debug)]
pub enum CommandIdState {
    /// The id has not been used, as far as the cache reaches back.
    New,
    /// The id was used, and its answer is cached.
    Answered(Arc<Answer>),
    /// The id was used, and its answer has been evicted.
    Forgotten,
}

/// Stored form of [`Answers`]; its fields are encoded by position.
#[derive(Deserialize)]
struct AnswersStored {
    kept: VecDeque<Arc<Answer>>,
    forgotten: VecDeque<u64>,
}

impl Answers {
    /// Looks up a command id.
    pub fn find(&self, id: &CommandId) -> CommandIdState {
        match self.by_id.get(id) {
            Some(answer) => CommandIdState::Answered(answer.clone()),
            None if self.forgotten_ids.contains(&hash_id(id)) => CommandIdState::Forgotten,
            None => CommandIdState::New,
        }
    }

    /// Caches the answer to a command, unless its id has been used before.
    pub fn insert(&mut self, applied: &AuditRecord, version: Version) {
        if !matches!(self.find(&applied.command_id), CommandIdState::New) {
            return;
        }
        let answer = Arc::new(Answer::new(applied, version));
        self.by_id
            .insert(applied.command_id.clone(), answer.clone());
        self.kept.push_back(answer);
        while self.kept.len() > MAX_ANSWERS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.kept.pop_front() else {
            return;
        };
        self.by_id.remove(&oldest.command_id);
        let hash = hash_id(&oldest.command_id);
        self.forgotten.push_back(hash);
        self.forgotten_ids.insert(hash);
        if self.forgotten.len() > MAX_FORGOTTEN_IDS
            && let Some(dropped) = self.forgotten.pop_front()
        {
            self.forgotten_ids.remove(&dropped);
        }
    }
}

impl Answer {
    /// Creates the answer to a command from its audit record.
    pub fn new(applied: &AuditRecord, version: Version) -> Self {
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

    /// Converts the answer to the form returned to operators.
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

/// Returns a hash of a change, which tells whether a reused command id is a resend.
pub fn change_digest(change: &Change) -> Digest {
    let bytes = rmp_serde::to_vec(change).expect("the value encodes as MessagePack");
    Digest::of(&[&bytes])
}

/// Returns the text of a change, truncated to [`MAX_TEXT_CHARS`].
pub fn short_text(change: &Change) -> String {
    let text = change.to_string();
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

fn hash_id(id: &CommandId) -> u64 {
    let digest = Digest::of(&[id.as_str().as_bytes()]);
    u64::from_le_bytes(digest.0[..8].try_into().expect("eight bytes"))
}
