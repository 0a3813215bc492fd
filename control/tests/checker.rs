use std::collections::{BTreeMap, BTreeSet};

use laburnumdeal_control::Committed;
use laburnumdeal_model::{AuditRecord, CommandId, Digest, Verdict, Version};

/// Client call with its outcome. `begin` and `end` are logical times of one clock for all clients.
#[derive(Clone, Debug)]
pub struct Event {
    pub begin: u64,
    pub end: u64,
    pub call: Call,
}

#[derive(Clone, Debug)]
pub enum Call {
    Committed(CommandId, Committed),
    NotRun,
    Unknown(CommandId),
    ConfirmedRead(Version),
    Read,
}

/// Checks the recorded client calls against the final audit trail; returns the first violation.
pub fn check(events: &[Event], trail: &[AuditRecord]) -> Result<(), String> {
    check_trail(trail)?;
    check_answers(events, trail)?;
    check_not_run(events, trail)?;
    check_order(events)?;
    check_reads(events)
}

/// Checks that the records form one hash chain in which every version and every accepted command
/// occurs once.
fn check_trail(trail: &[AuditRecord]) -> Result<(), String> {
    let (mut chain, mut version, mut ran) = (Digest::default(), Version(0), BTreeSet::new());
    for record in trail {
        if record.expected_chain(chain) != record.chain {
            return Err(format!("record {} breaks the chain", record.index));
        }
        chain = record.chain;
        let Verdict::Accepted { version: next } = record.verdict else {
            continue;
        };
        if next != version.next() {
            return Err(format!("version {next} follows version {version}"));
        }
        if !ran.insert(&record.command_id) {
            return Err(format!("command {} ran twice", record.command_id));
        }
        version = next;
    }
    Ok(())
}

/// Checks that every acknowledged command is in the trail with the same answer.
fn check_answers(events: &[Event], trail: &[AuditRecord]) -> Result<(), String> {
    let records: BTreeMap<u64, &AuditRecord> = trail.iter().map(|r| (r.index, r)).collect();
    for event in events {
        let Call::Committed(id, committed) = &event.call else {
            continue;
        };
        let Some(record) = records.get(&committed.index) else {
            return Err(format!("acknowledged command {id} is lost"));
        };
        if record.command_id != *id || record.verdict != committed.verdict {
            return Err(format!("command {id} was acknowledged with another answer"));
        }
    }
    Ok(())
}

/// Checks that a command whose calls were all answered "not run" is not in the trail.
fn check_not_run(events: &[Event], trail: &[AuditRecord]) -> Result<(), String> {
    let may_have_run: BTreeSet<&CommandId> = events
        .iter()
        .filter_map(|event| match &event.call {
            Call::Committed(id, _) | Call::Unknown(id) => Some(id),
            _ => None,
        })
        .collect();
    match trail.iter().find(|r| !may_have_run.contains(&r.command_id)) {
        Some(record) => Err(format!(
            "command {} ran but was answered \"not run\"",
            record.command_id
        )),
        None => Ok(()),
    }
}

/// Checks real-time order: a command acknowledged before another was sent precedes it in the log.
fn check_order(events: &[Event]) -> Result<(), String> {
    let committed: Vec<(&Event, &Committed)> = events
        .iter()
        .filter_map(|event| match &event.call {
            Call::Committed(_, committed) if !committed.repeated => Some((event, committed)),
            _ => None,
        })
        .collect();
    for (earlier, first) in &committed {
        for (later, second) in &committed {
            if earlier.end < later.begin && first.index >= second.index {
                return Err(format!(
                    "entry {} precedes entry {}, which was acknowledged before it was sent",
                    second.index, first.index
                ));
            }
        }
    }
    Ok(())
}

/// Checks that a confirmed read returns at least the newest version that was acknowledged or read
/// before it began.
fn check_reads(events: &[Event]) -> Result<(), String> {
    for read in events {
        let Call::ConfirmedRead(seen) = read.call else {
            continue;
        };
        let before = events.iter().filter(|event| event.end < read.begin);
        let newest = before.filter_map(|event| match &event.call {
            Call::Committed(_, committed) => Some(committed.version),
            Call::ConfirmedRead(version) => Some(*version),
            _ => None,
        });
        let newest = newest.max().unwrap_or_default();
        if seen < newest {
            return Err(format!(
                "a confirmed read returned version {seen} after version {newest} was acknowledged"
            ));
        }
    }
    Ok(())
}
