//! Tests of verifying the audit trail, read from an instance and from a file.

use std::fs;

use laburnumdeal_cli::{AuditChain, AuditError, Exit, Input, run_file_verification};
use laburnumdeal_language::{Command, OperatorReply, OperatorRequest, parse};
use laburnumdeal_model::{AuditRecord, Change, Digest, Refusal, Verdict, Version};

use crate::fake_instance::{FakeInstance, Step, options, run_with};

/// Number of records in the full trail: two full pages and a partial one.
const TRAIL_RECORDS: u64 = 1_203;

/// Returns a valid trail whose log indexes have gaps.
fn full_trail() -> Vec<AuditRecord> {
    let mut previous = Digest::default();
    let records = (1..=TRAIL_RECORDS).map(|number| {
        let verdict = match number % 5 {
            0 => Verdict::Refused(Refusal::EmptyList {
                what: "steering".to_owned(),
            }),
            _ => Verdict::Accepted {
                version: Version(number),
            },
        };
        let mut record = AuditRecord {
            index: number * 3,
            command_id: format!("c-{number}").parse().unwrap(),
            operator: "nadia".to_owned(),
            at_ms: 1_796_335_200_000 + number,
            base: None,
            change: Change::Revert { to: Version(1) },
            verdict,
            chain: Digest::default(),
        };
        record.chain = record.expected_chain(previous);
        previous = record.chain;
        record
    });
    records.collect()
}

fn audit_page(records: Vec<AuditRecord>, request: &OperatorRequest) -> OperatorReply {
    let Ok(Command::AuditRecords { from_index, limit }) = parse(&request.command, 0) else {
        panic!("{} asks for no records", request.command);
    };
    let page = records
        .into_iter()
        .filter(|record| record.index >= from_index);
    let limit = limit.unwrap_or(u64::MAX) as usize;
    OperatorReply::Audit {
        records: page.take(limit).collect(),
    }
}

fn serve_full_trail(request: &OperatorRequest) -> OperatorReply {
    audit_page(full_trail(), request)
}

fn serve_altered_trail(request: &OperatorRequest) -> OperatorReply {
    let mut records = full_trail();
    records[700].operator = "omar".to_owned();
    audit_page(records, request)
}

/// Replies like a replica that has dropped the first 100 records.
fn serve_partial_trail(request: &OperatorRequest) -> OperatorReply {
    audit_page(full_trail().split_off(100), request)
}

fn serve_repeated_page(_: &OperatorRequest) -> OperatorReply {
    OperatorReply::Audit {
        records: full_trail()[..2].to_vec(),
    }
}

async fn verify(reply: fn(&OperatorRequest) -> OperatorReply) -> (u8, String, String, usize) {
    let fake = FakeInstance::spawn(vec![Step::Reply(reply)]);
    let options = options(&[&fake.address], &["audit", "verify"]);
    let (status, out, err) = run_with(&options, Input::Pipe, "").await;
    (status, out, err, fake.requests().len())
}

#[tokio::test]
async fn audit_verify_full_trail_succeeds() {
    let (status, out, err, pages) = verify(serve_full_trail).await;
    assert_eq!((status, pages), (0, 4), "{err}");
    let last = full_trail().pop().unwrap();
    assert!(
        out.contains(&format!("1203     {}        {}", last.index, last.chain)),
        "{out}"
    );
}

#[tokio::test]
async fn audit_verify_altered_record_is_named() {
    let (status, _, err, _) = verify(serve_altered_trail).await;
    assert_eq!(status, 1);
    assert!(
        err.starts_with("error: audit record 2103 breaks the chain"),
        "{err}"
    );
}

#[tokio::test]
async fn audit_verify_partial_trail_is_incomplete() {
    let (status, _, err, _) = verify(serve_partial_trail).await;
    assert_eq!(status, 1);
    assert!(
        err.starts_with("error: audit records 303 to 3609 follow each other"),
        "{err}"
    );
}

#[tokio::test]
async fn audit_verify_repeated_page_ends() {
    let (status, _, err, pages) = verify(serve_repeated_page).await;
    assert_eq!((status, pages), (1, 2));
    assert!(
        err.contains("audit record 3 does not follow record 6"),
        "{err}"
    );
}

#[tokio::test]
async fn audit_records_saved_to_file_are_verified() {
    let fake = FakeInstance::spawn(vec![Step::Reply(serve_full_trail)]);
    let options = options(&[&fake.address], &["--json", "audit", "records"]);
    let (status, out, _) = run_with(&options, Input::Pipe, "").await;
    assert_eq!((status, out.lines().count() as u64), (0, TRAIL_RECORDS));
    assert_eq!(file_error(&out), None);
    let without_first = out.split_once('\n').unwrap().1;
    assert!(
        file_error(without_first)
            .unwrap()
            .contains("before 6 are missing")
    );
    let damaged = out.replacen("nadia", "omar", 1);
    assert!(
        file_error(&damaged)
            .unwrap()
            .contains("before 3 are missing or it was altered")
    );
    let truncated = &out[..out.len() - 9];
    assert!(file_error(truncated).unwrap().contains("line 1203: "));
}

#[test]
fn audit_chain_every_removed_record_is_detected() {
    let records = &full_trail()[..20];
    for removed in 0..records.len() - 1 {
        let mut chain = AuditChain::default();
        let mut rest = records.iter().enumerate().filter(|(at, _)| *at != removed);
        let broken = rest.find(|(_, record)| chain.check(record).is_err());
        let first = records[1].index;
        match broken {
            Some((at, _)) => assert_eq!(at, removed + 1),
            None => {
                let error = chain.finish().unwrap_err();
                assert!(matches!(error, AuditError::Incomplete { first: f, .. } if f == first));
                assert_eq!(removed, 0);
            }
        }
    }
}

/// Returns the error output of verifying a file with this text, if it fails.
fn file_error(text: &str) -> Option<String> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("trail.jsonl");
    fs::write(&file, text).unwrap();
    let options = options(&["127.0.0.1:1"], &["audit", "verify"]);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    match run_file_verification(&file, &options, &mut out, &mut err).unwrap() {
        Exit::Done => None,
        _ => Some(String::from_utf8(err).unwrap()),
    }
}
