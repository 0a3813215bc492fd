use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_queue::PartitionId;
use crate::claim_import::ClaimImport;
use crate::claim_partition::ClaimPartition;
use crate::claim_record::record_of;
use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{ClaimRecord, ClaimResult, ClaimTable, ExportId, HandOver, RecordState};

/// Maximum number of records in one message of a hand-over.
pub const MAX_HAND_OVER_RECORDS: usize = 4_096;

/// Size of stored answers in one message of a hand-over, in bytes; the record that exceeds it goes into the
/// next message.
pub const HAND_OVER_ANSWER_BYTES: usize = 1 << 20;

/// Maximum number of runs of other instances that one instance is responsible for.
pub const MAX_IMPORTED_RUNS: usize = 64;

impl ClaimTable {
    /// Closes the table and returns all its records of keys with a token, including imported ones, as
    /// messages for another instance.
    ///
    /// Claims that have not started are fenced, and new keys are refused from then on. A repeated call
    /// exports the records as they are at that time.
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
        let mut messages = split_into_messages(by, by_boot, export, &records.own);
        for import in records.imports.iter().filter(|i| i.is_complete()) {
            let (from, from_boot) = import.run();
            messages.extend(split_into_messages(
                from,
                from_boot,
                export,
                &import.partition,
            ));
        }
        messages
    }

    /// Adds one message of a hand-over and returns whether all messages of its run have arrived.
    ///
    /// From then on this instance is responsible for keys whose token names the run.
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
        if records.partition_of_run(from, boot).is_some() {
            return true;
        }
        records.prepare_import(&message);
        let partition = PartitionId::Imported(from, boot);
        let is_new = records.mark_received(from, boot, message.part);
        for record in message.records.into_iter().filter(|_| is_new) {
            records.add_received(partition, record);
        }
        records.evict_records();
        records.partition_of_run(from, boot).is_some()
    }
}

impl ClaimRecords {
    fn close(&mut self) {
        self.own.is_closed = true;
        for entry in self.own.entries_mut().chain(self.tokenless.entries_mut()) {
            if let ClaimState::Pending { sender, .. } = &entry.state {
                sender.send_replace(Some(ClaimResult::NotRun));
                entry.state = ClaimState::Fenced;
            }
        }
    }

    fn mark_received(&mut self, from: InstanceId, boot: BootId, part: u32) -> bool {
        self.imports
            .iter_mut()
            .find(|i| i.is_of(from, boot))
            .is_some_and(|i| i.mark_received(part))
    }

    /// Prepares to collect the parts of the export that a message belongs to.
    ///
    /// Parts of another export of the same run are dropped, and so is the oldest import at the limit.
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
        while let Some(state) = import.partition.evict_oldest() {
            self.release(Some(state));
        }
    }

    /// Adds a record received from another instance, unless the record here is at least as complete.
    pub fn add_received(&mut self, id: PartitionId, record: ClaimRecord) {
        let ClaimRecord {
            key,
            fingerprint,
            stamp_ms,
            state,
        } = record;
        let Some(partition) = self.partition_mut(id) else {
            return;
        };
        let is_finished = matches!(state, RecordState::Finished(_));
        match partition.entry(key).map(|entry| &entry.state) {
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
        partition.insert(key, entry);
        if let Some(answer) = answer {
            self.set_answer(id, key, answer.into());
        }
    }
}

fn split_into_messages(
    from: InstanceId,
    from_boot: BootId,
    export: ExportId,
    partition: &ClaimPartition,
) -> Vec<HandOver> {
    let mut parts = vec![Vec::new()];
    let mut answer_bytes = 0;
    for (key, entry) in partition.entries() {
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
        floor_ms: partition.floor_ms,
        part,
        total,
        records,
    };
    (0..).zip(parts).map(message).collect()
}
