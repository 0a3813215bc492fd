use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_shelf::DomainId;
use crate::claim_domain::ClaimDomain;
use crate::claim_import::ClaimImport;
use crate::claim_record::record_of;
use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{ClaimRecord, ClaimResult, ClaimTable, ExportId, HandOver, RecordState};

/// Most records in one message of a hand-over.
pub const MAX_HAND_OVER_RECORDS: usize = 4_096;

/// Most body and header bytes after which a message of a hand-over is closed.
pub const HAND_OVER_ANSWER_BYTES: usize = 1 << 20;

/// Most runs of other instances that one instance answers for.
pub const MAX_IMPORTED_RUNS: usize = 64;

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
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::{BootId, InstanceId};
    /// use laburnumdeal_policy::{ClaimSettings, ClaimTable};
    ///
    /// let stopping = ClaimTable::new(ClaimSettings::new(InstanceId(1), BootId(70)));
    /// let other = ClaimTable::new(ClaimSettings::new(InstanceId(2), BootId(71)));
    /// for message in stopping.export() {
    ///     other.import(message);
    /// }
    /// assert!(other.is_responsible_for(InstanceId(1), BootId(70)));
    /// ```
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
                sender.send_replace(Some(ClaimResult::NotRun));
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
        let is_full = parts
            .last()
            .is_some_and(|p| p.len() >= MAX_HAND_OVER_RECORDS);
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
