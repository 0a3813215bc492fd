//! Tests of sending commands to instances that reply, fail or cannot be reached.

use std::io::{self, Write};

use laburnumdeal_cli::{Exit, Input, run};
use laburnumdeal_language::{ChangeReply, OperatorReply, OperatorRequest, Table};
use laburnumdeal_model::{NameKind, Refusal, Verdict, Version};

use crate::fake_instance::{ClosedPort, FakeInstance, Step, client, options, run_with, session};

fn accept(request: &OperatorRequest) -> OperatorReply {
    verdict(
        request,
        Verdict::Accepted {
            version: Version(8),
        },
    )
}

fn refuse(request: &OperatorRequest) -> OperatorReply {
    let service = "catalog".to_owned();
    verdict(request, Verdict::Refused(Refusal::NoRoom { service }))
}

fn unknown_zone(request: &OperatorRequest) -> OperatorReply {
    let (kind, name) = (NameKind::Zone, "borgg".to_owned());
    verdict(
        request,
        Verdict::Refused(Refusal::UnknownName { kind, name }),
    )
}

fn verdict(request: &OperatorRequest, verdict: Verdict) -> OperatorReply {
    OperatorReply::Verdict(ChangeReply {
        verdict,
        command_id: request.command_id.clone().unwrap(),
        version: Version(8),
        in_force: vec!["nasr-1".to_owned(), "maadi-1".to_owned()],
        fenced: vec!["borg-1".to_owned()],
        unreachable: vec![],
        took_ms: 12,
    })
}

fn other_command(request: &OperatorRequest) -> OperatorReply {
    let mut other = request.clone();
    other.command_id = Some("other".parse().unwrap());
    accept(&other)
}

fn zones(_: &OperatorRequest) -> OperatorReply {
    let row = |zone: &str, region: &str| vec![zone.to_owned(), region.to_owned()];
    let rows = vec![row("nasr", "cairo"), row("mansoura", "delta\u{1b}[31m")];
    OperatorReply::Table(Table::new("zones", &["zone", "region"], rows))
}

fn not_run(_: &OperatorRequest) -> OperatorReply {
    OperatorReply::NotRun {
        reason: "no leader".to_owned(),
        retry_after_ms: 700,
    }
}

fn leader_lost(request: &OperatorRequest) -> OperatorReply {
    OperatorReply::Unknown {
        command_id: request.command_id.clone().unwrap(),
        reason: "the leader went away".to_owned(),
    }
}

/// Runs a change with two instances, the second of which accepts it. Returns the exit status, both
/// outputs and the number of requests to the second instance.
async fn run_change(first: Step) -> (u8, String, String, usize) {
    let (first, second) = (
        FakeInstance::spawn(vec![first]),
        FakeInstance::spawn(vec![Step::Reply(accept)]),
    );
    let words = ["--id", "c-1", "revert", "to", "7"];
    let options = options(&[&first.address, &second.address], &words);
    let (status, out, err) = run_with(&options, Input::Pipe, "").await;
    (status, out, err, second.requests().len())
}

async fn run_query(first: Step) -> (u8, String, String) {
    let (first, second) = (
        FakeInstance::spawn(vec![first]),
        FakeInstance::spawn(vec![Step::Reply(zones)]),
    );
    let options = options(&[&first.address, &second.address], &["show", "zones"]);
    run_with(&options, Input::Pipe, "").await
}

#[tokio::test]
async fn run_accepted_change_is_done() {
    let (status, out, err, _) = run_change(Step::Reply(accept)).await;
    assert_eq!((status, err.as_str()), (0, "command id c-1\n"));
    insta::assert_snapshot!(out);
}

#[tokio::test]
async fn run_refused_change_is_refused() {
    let (status, out, err, second_requests) = run_change(Step::Reply(refuse)).await;
    assert_eq!((status, out.as_str(), second_requests), (1, "", 0));
    assert!(
        err.contains("refused: service \"catalog\" would be left"),
        "{err}"
    );
}

#[tokio::test]
async fn run_unknown_name_points_at_word() {
    let fake = FakeInstance::spawn(vec![Step::Reply(unknown_zone)]);
    let words = ["--id", "c-1", "steer", "10.1.0.0/16", "to", "nasr,borgg"];
    let (status, _, err) = run_with(&options(&[&fake.address], &words), Input::Pipe, "").await;
    assert_eq!(status, 1);
    insta::assert_snapshot!(err);
}

#[tokio::test]
async fn run_lost_reply_is_unknown() {
    let lost = [
        Step::Close,
        Step::Hang,
        Step::Reply(other_command),
        Step::Reply(leader_lost),
        Step::Response(200, "what?".to_owned()),
        Step::Response(408, String::new()),
        Step::Response(502, "<html>".to_owned()),
    ];
    for step in lost {
        let (status, out, err, second_requests) = run_change(step).await;
        assert_eq!((status, out.as_str(), second_requests), (3, "", 0), "{err}");
        assert!(err.contains("--id c-1 'revert to 7'\n"), "{err}");
    }
}

#[tokio::test]
async fn run_truncated_response_is_unknown() {
    let full_bytes = FakeInstance::response_bytes(accept, "c-1");
    for bytes in 0..full_bytes {
        let (status, _, err, second_requests) = run_change(Step::Truncate(bytes, accept)).await;
        assert_eq!(
            (status, second_requests),
            (3, 0),
            "after {bytes} bytes: {err}"
        );
    }
}

#[tokio::test]
async fn run_lost_reply_resent_has_same_request() {
    let fake = FakeInstance::spawn(vec![Step::Close, Step::Reply(accept)]);
    let words = ["--base", "6", "drain", "zone", "nasr", "now", "force"];
    let first = options(&[&fake.address], &words);
    let (status, _, err) = run_with(&first, Input::Pipe, "").await;
    assert_eq!(status, 3);
    let line = err.lines().last().unwrap().replace('\'', "");
    let again: Vec<&str> = line.split_whitespace().skip(1).collect();
    let (status, _, _) = run_with(&options(&[], &again), Input::Pipe, "").await;
    assert_eq!(status, 0);
    let requests = fake.requests();
    assert_eq!(requests[0], requests[1]);
    assert!(requests[0].force && requests[0].base == Some(Version(6)));
}

#[tokio::test]
async fn run_refused_connection_tries_next() {
    let fake = FakeInstance::spawn(vec![Step::Reply(accept)]);
    let closed = ClosedPort::bind();
    let addresses = [closed.address.as_str(), &fake.address];
    let options = options(&addresses, &["revert", "to", "7"]);
    assert_eq!(run_with(&options, Input::Pipe, "").await.0, 0);
}

#[tokio::test]
async fn run_unreachable_instances_is_not_run() {
    let closed = ClosedPort::bind();
    let addresses = [closed.address.as_str(), &closed.address];
    let options = options(&addresses, &["revert", "to", "7"]);
    let (status, _, err) = run_with(&options, Input::Pipe, "").await;
    assert_eq!(status, 4);
    assert!(err.contains("not run: 127.0.0.1:"), "{err}");
}

#[tokio::test]
async fn run_not_run_answer_tries_next() {
    let (status, out, _, second_requests) = run_change(Step::Reply(not_run)).await;
    assert_eq!((status, second_requests), (0, 1), "{out}");
}

#[tokio::test]
async fn run_not_run_everywhere_is_not_run() {
    let fake = FakeInstance::spawn(vec![Step::Reply(not_run)]);
    let options = options(&[&fake.address, &fake.address], &["revert", "to", "7"]);
    let (status, _, err) = run_with(&options, Input::Pipe, "").await;
    let requests = fake.requests();
    assert_eq!((status, &requests[1]), (4, &requests[0]));
    assert!(
        err.ends_with(": no leader\ntry again after 700 ms\n"),
        "{err}"
    );
}

#[tokio::test]
async fn send_change_without_id_gets_one() {
    let (first, second) = (
        FakeInstance::spawn(vec![Step::Close]),
        FakeInstance::spawn(vec![Step::Reply(accept)]),
    );
    let addresses = [first.address.as_str(), second.address.as_str()];
    let client = client(&options(&addresses, &[]));
    let reply = client.send(&OperatorRequest::query("revert to 7")).await;
    let OperatorReply::Unknown { command_id, .. } = reply else {
        panic!("the outcome is known: {reply:?}");
    };
    assert_eq!(first.requests()[0].command_id, Some(command_id));
    assert_eq!(second.requests().len(), 0);
}

#[tokio::test]
async fn run_wrong_token_is_refused() {
    let (status, _, err, second_requests) = run_change(Step::Response(401, String::new())).await;
    assert_eq!((status, second_requests), (1, 0));
    assert!(err.contains("refused the command with status 401"), "{err}");
}

#[tokio::test]
async fn run_lost_reply_to_query_tries_next() {
    for step in [
        Step::Close,
        Step::Hang,
        Step::Truncate(90, zones),
        Step::Response(502, String::new()),
    ] {
        assert_eq!(run_query(step).await.0, 0);
    }
}

#[tokio::test]
async fn run_lost_reply_to_dry_run_tries_next() {
    let (first, second) = (
        FakeInstance::spawn(vec![Step::Close]),
        FakeInstance::spawn(vec![Step::Reply(accept)]),
    );
    let addresses = [first.address.as_str(), second.address.as_str()];
    let options = options(&addresses, &["revert", "to", "7", "dry-run"]);
    assert_eq!(run_with(&options, Input::Pipe, "").await.0, 0);
    assert!(second.requests()[0].dry_run);
}

#[tokio::test]
async fn run_table_is_aligned() {
    let (status, out, _) = run_query(Step::Reply(zones)).await;
    assert_eq!(status, 0);
    insta::assert_snapshot!(out);
}

#[tokio::test]
async fn run_json_is_one_line() {
    let fake = FakeInstance::spawn(vec![Step::Reply(accept), Step::Reply(refuse)]);
    let options = options(
        &[&fake.address],
        &["--json", "--id", "c-1", "revert", "to", "7"],
    );
    for expected in [0, 1] {
        let (status, out, _) = run_with(&options, Input::Pipe, "").await;
        assert_eq!((status, out.lines().count()), (expected, 1));
        let reply: OperatorReply = serde_json::from_str(&out).unwrap();
        assert!(matches!(reply, OperatorReply::Verdict(_)));
    }
}

#[tokio::test]
async fn run_json_of_wrong_command_points_at_word() {
    let options = options(&["127.0.0.1:1"], &["--json", "drain", "zne", "nasr"]);
    let (status, out, err) = run_with(&options, Input::Pipe, "").await;
    assert_eq!((status, err.as_str()), (1, ""));
    let reply: OperatorReply = serde_json::from_str(&out).unwrap();
    assert!(matches!(reply, OperatorReply::Error(error) if error.offset == Some(6)));
}

#[tokio::test]
async fn run_request_carries_token_and_options() {
    let fake = FakeInstance::spawn(vec![Step::Reply(accept)]);
    let words = [
        "--wait=900",
        "--dry-run",
        "--force",
        "--base",
        "4",
        "revert",
        "to",
        "7",
    ];
    let (_, out, err) = run_with(&options(&[&fake.address], &words), Input::Pipe, "").await;
    assert!(
        !out.contains("secret") && !err.contains("secret"),
        "{out}{err}"
    );
    let head = fake.first_head().to_lowercase();
    assert!(head.starts_with("post /v1/command http/1.1\r\n"), "{head}");
    assert!(
        head.contains("authorization: bearer secret-of-nadia"),
        "{head}"
    );
    let request = fake.requests().remove(0);
    assert!(request.dry_run && request.force && request.command_id.is_some());
    assert_eq!(
        (request.wait_ms, request.base),
        (Some(900), Some(Version(4)))
    );
}

#[tokio::test]
async fn run_pipe_stops_at_first_refusal() {
    let fake = FakeInstance::spawn(vec![Step::Reply(accept), Step::Reply(refuse)]);
    let input = "# Evening.\n\nrevert to 7\nundrain zone nasr\nrevert to 8\n";
    let (status, _, _) = run_with(&options(&[&fake.address], &[]), Input::Pipe, input).await;
    let requests = fake.requests();
    let sent: Vec<&str> = requests.iter().map(|r| r.command.as_str()).collect();
    assert_eq!(
        (status, sent),
        (1, vec!["revert to 7", "undrain zone nasr"])
    );
    assert_ne!(requests[0].command_id, requests[1].command_id);
}

#[tokio::test]
async fn run_prompt_goes_on_after_errors() {
    let fake = FakeInstance::spawn(vec![Step::Reply(zones)]);
    let input = "shw zones\nhelp\nshow zones\nquit\nshow zones\n";
    let (status, out, err) =
        run_with(&options(&[&fake.address], &[]), Input::Terminal, input).await;
    assert_eq!((status, fake.requests().len()), (0, 1));
    assert!(out.contains("undrain upstream|zone|region NAME"), "{out}");
    assert_eq!(err.matches("laburnumctl> ").count(), 4);
}

#[tokio::test]
async fn run_output_error_keeps_exit_status() {
    let fake = FakeInstance::spawn(vec![Step::Reply(accept)]);
    let options = options(&[&fake.address], &["revert", "to", "7"]);
    let (broken, input) = (BrokenOutput, (Input::Pipe, "".as_bytes()));
    let exit = run(&session(&options), &options, input, broken, std::io::sink()).await;
    assert_eq!(exit.unwrap(), Exit::Done);
}

/// Output on which every write fails.
struct BrokenOutput;

impl Write for BrokenOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
