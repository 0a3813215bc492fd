use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::answer_shelf::DomainId;
use crate::claim_domain::ClaimDomain;
use crate::claim_import::ClaimImport;
use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{ClaimFinish, ClaimTable, KeyId, StoredAnswer};

/// Most records in one message of a hand-over.
pub const HAND_OVER_RECORDS: usize = 4_096;

/// Most body and header bytes after which a message of a hand-over is closed.
pub const HAND_OVER_ANSWER_BYTES: usize = 1 << 20;

/// Most runs of other instances that one instance answers for.
pub const MAX_IMPORTED_RUNS: usize = 64;

/// What is told of a key when its record moves to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key of the request.
    pub key: KeyId,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Stamp of the token.
    pub stamp_ms: u64,
    /// What became of the request.
    pub state: RecordState,
}

/// What became of a request whose record moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Claimed for a run of the home; may run.
    Claimed {
        /// Run of the home.
        home_boot: BootId,
    },
    /// Never runs.
    Fenced,
    /// May have run; no answer is kept.
    Ran,
    /// Ran; this is its answer.
    Finished(StoredAnswer),
}

/// Names one export of one run, also when that passes on what another run had handed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExportId {
    /// Instance that exported.
    pub by: InstanceId,
    /// Run of that instance.
    pub by_boot: BootId,
    /// Number of the export in that run.
    pub number: u64,
}

/// One message of a hand-over on a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Instance whose claims these are.
    pub from: InstanceId,
    /// Run of that instance.
    pub from_boot: BootId,
    /// Export that this message is a part of; parts of different exports do not make a whole.
    pub export: ExportId,
    /// Floor of that run.
    pub floor_ms: Option<u64>,
    /// Number of this message, from 0.
    pub part: u32,
    /// Number of messages.
    pub total: u32,
    /// Records of this message.
    pub records: Vec<ClaimRecord>,
}

impl ClaimTable {
    /// Closes the table and returns its records, and those it answers for, as messages for another instance.
    ///
    /// Claims that have not started are fenced, and no further key is taken. A second call returns the
    /// state of that time.
    pub fn export(&self) -> Vec<HandOver> {
        let mut records = self.lock();
        records.close();
        records.next_serial += 1;
        let (by, by_boot) = (records.settings.me, records.settings.boot);
        let export = ExportId {
            by,
            by_boot,
            number: records.next_serial,
        };
        let mut messages = split(by, by_boot, export, &records.own);
        for import in records.imports.iter().filter(|i| i.is_complete()) {
            let (from, from_boot) = import.run();
            messages.extend(split(from, from_boot, export, &import.domain));
        }
        messages
    }

    /// Takes one message of a hand-over and returns whether all of that run have arrived.
    ///
    /// From then on this instance answers for tokens that name the run.
    pub fn import(&self, message: HandOver) -> bool {
        let mut records = self.lock();
        let (from, boot) = (message.from, message.from_boot);
        if (from, boot) == (records.settings.me, records.settings.boot) {
            return false;
        }
        if records.domain_of_run(from, boot).is_some() {
            return true;
        }
        records.prepare_import(&message);
        let domain = DomainId::Imported(from, boot);
        let is_new = records.receive(from, boot, message.part);
        for record in message.records.into_iter().filter(|_| is_new) {
            records.adopt(domain, record);
        }
        records.evict_records();
        records.domain_of_run(from, boot).is_some()
    }
}

impl ClaimRecords {
    fn close(&mut self) {
        self.own.closed = true;
        for entry in self.own.entries_mut().chain(self.bare.entries_mut()) {
            if let ClaimState::Pending { sender, .. } = &entry.state {
                sender.send_replace(Some(ClaimFinish::NotRun));
                entry.state = ClaimState::Fenced;
            }
        }
    }

    fn receive(&mut self, from: InstanceId, boot: BootId, part: u32) -> bool {
        self.imports
            .iter_mut()
            .find(|i| i.is_of(from, boot))
            .is_some_and(|i| i.receive(part))
    }

    /// Makes sure that the parts of the export of a message are collected, and of no other.
    fn prepare_import(&mut self, message: &HandOver) {
        let (from, boot) = (message.from, message.from_boot);
        let known = self.imports.iter().position(|i| i.is_of(from, boot));
        match known {
            Some(at) if self.imports[at].is_export(message.export) => return,
            Some(at) => self.drop_import(at),
            None if self.imports.len() >= MAX_IMPORTED_RUNS => self.drop_import(0),
            None => {}
        }
        self.imports.push(ClaimImport::new(message));
    }

    fn drop_import(&mut self, at: usize) {
        let mut import = self.imports.remove(at);
        while let Some(state) = import.domain.evict_oldest() {
            self.release(Some(state));
        }
    }

    /// Adds a record that was told by another instance, unless more is known here.
    pub fn adopt(&mut self, id: DomainId, record: ClaimRecord) {
        let ClaimRecord {
            key,
            fingerprint,
            stamp_ms,
            state,
        } = record;
        let Some(domain) = self.domain_mut(id) else {
            return;
        };
        let is_finished = matches!(state, RecordState::Finished(_));
        match domain.entry(key).map(|entry| &entry.state) {
            None => {}
            Some(ClaimState::Mirrored { .. } | ClaimState::Ran) if is_finished => {}
            Some(_) => return,
        }
        let (state, answer) = match state {
            RecordState::Claimed { home_boot } => (ClaimState::Mirrored { home_boot }, None),
            RecordState::Fenced => (ClaimState::Fenced, None),
            RecordState::Ran => (ClaimState::Ran, None),
            RecordState::Finished(answer) => (ClaimState::Ran, Some(answer)),
        };
        let entry = ClaimEntry {
            fingerprint,
            stamp_ms,
            state,
        };
        domain.insert(key, entry);
        if let Some(answer) = answer {
            self.keep_answer(id, key, answer.into());
        }
    }
}

/// Returns the record of a key as told to another instance.
pub(crate) fn record_of(key: KeyId, entry: &ClaimEntry, boot: BootId) -> ClaimRecord {
    let state = match &entry.state {
        ClaimState::Pending { .. } | ClaimState::Started { .. } => {
            RecordState::Claimed { home_boot: boot }
        }
        ClaimState::Mirrored { home_boot } => RecordState::Claimed {
            home_boot: *home_boot,
        },
        ClaimState::Fenced => RecordState::Fenced,
        ClaimState::Ran => RecordState::Ran,
        ClaimState::Finished { answer, .. } => RecordState::Finished(StoredAnswer::clone(answer)),
    };
    ClaimRecord {
        key,
        fingerprint: entry.fingerprint,
        stamp_ms: entry.stamp_ms,
        state,
    }
}

fn split(
    from: InstanceId,
    from_boot: BootId,
    export: ExportId,
    domain: &ClaimDomain,
) -> Vec<HandOver> {
    let mut parts = vec![Vec::new()];
    let mut answer_bytes = 0;
    for (key, entry) in domain.entries() {
        if let ClaimState::Finished { answer, .. } = &entry.state {
            answer_bytes += answer.len_bytes();
        }
        let is_full = parts.last().is_some_and(|p| p.len() >= HAND_OVER_RECORDS);
        if is_full || answer_bytes > HAND_OVER_ANSWER_BYTES {
            parts.push(Vec::new());
            answer_bytes = 0;
        }
        if let Some(part) = parts.last_mut() {
            part.push(record_of(key, entry, from_boot));
        }
    }
    let total = parts.len() as u32;
    let message = |(part, records)| HandOver {
        from,
        from_boot,
        export,
        floor_ms: domain.floor_ms,
        part,
        total,
        records,
    };
    (0..).zip(parts).map(message).collect()
}
