//! Tests of operator requests and replies and of their JSON encoding.

use laburnumdeal_language::{
    ChangeReply, Command, ErrorReply, OperatorReply, OperatorRequest, Table, parse,
};
use laburnumdeal_model::{AuditRecord, Change, Digest, Refusal, Verdict, Version};

fn zone_table() -> Table {
    let row = |zone: &str, region: &str| vec![zone.to_owned(), region.to_owned()];
    let rows = vec![
        row("nasr", "cairo"),
        row("maadi", "cairo"),
        row("borg", "alexandria"),
    ];
    Table::new("zones", &["zone", "region"], rows)
}

fn filter_zones(command: &str) -> Result<Table, ErrorReply> {
    let Ok(Command::Show(show)) = parse(command, 0) else {
        panic!("{command} is no 'show'");
    };
    zone_table().filtered(&show.filters, command)
}

fn every_reply() -> Vec<OperatorReply> {
    let command_id: laburnumdeal_model::CommandId = "c-1".parse().unwrap();
    let change = Change::Revert { to: Version(7) };
    vec![
        OperatorReply::Table(Table {
            version: Version(7),
            confirmed: true,
            note: Some("as of now".to_owned()),
            ..zone_table()
        }),
        OperatorReply::Verdict(ChangeReply {
            verdict: Verdict::Accepted {
                version: Version(8),
            },
            command_id: command_id.clone(),
            version: Version(8),
            in_force: vec!["nasr-1".to_owned()],
            fenced: vec!["borg-1".to_owned()],
            unreachable: vec![],
            took_ms: 12,
        }),
        OperatorReply::Unknown {
            command_id: command_id.clone(),
            reason: "the leader went away".to_owned(),
        },
        OperatorReply::NotRun {
            reason: "no leader".to_owned(),
            retry_after_ms: 500,
        },
        OperatorReply::Error(parse("drain zne nasr", 0).unwrap_err().into()),
        OperatorReply::Audit {
            records: vec![AuditRecord {
                index: 3,
                command_id,
                operator: "nadia".to_owned(),
                at_ms: 1_796_335_200_000,
                base: None,
                change,
                verdict: Verdict::Refused(Refusal::StorageFull {
                    instance: "nasr-1".to_owned(),
                }),
                chain: Digest::default(),
            }],
        },
    ]
}

#[test]
fn operator_reply_every_kind_round_trips() {
    for reply in every_reply() {
        let json = serde_json::to_string(&reply).unwrap();
        assert_eq!(serde_json::from_str::<OperatorReply>(&json).unwrap(), reply);
    }
    insta::assert_json_snapshot!(every_reply());
}

#[test]
fn operator_request_unknown_field_is_refused() {
    let json = r#"{"command":"revert to 7","dryrun":true}"#;
    let error = serde_json::from_str::<OperatorRequest>(json).unwrap_err();
    assert!(error.to_string().contains("dryrun"), "{error}");
}

#[test]
fn operator_request_parse_merges_options() {
    let request = OperatorRequest {
        command: "revert to 7 based on 9".to_owned(),
        force: true,
        ..OperatorRequest::default()
    };
    let line = request.parse(0).unwrap();
    assert_eq!(line.to_string(), "revert to 7 based on 9 force");
}

#[test]
fn operator_request_parse_two_bases_are_refused() {
    let request = OperatorRequest {
        command: "revert to 7 based on 9".to_owned(),
        base: Some(Version(8)),
        ..OperatorRequest::default()
    };
    insta::assert_snapshot!(request.parse(0).unwrap_err(), @r"
    the text is based on 9, the request on 8
      revert to 7 based on 9
                  ^^^^^
    ");
}

#[test]
fn table_filtered_keeps_matching_rows() {
    let table = filter_zones("show zones where region = cairo and zone != maadi").unwrap();
    assert_eq!(table.rows, [["nasr", "cairo"]]);
}

#[test]
fn table_filtered_unknown_column_points_at_word() {
    let error = filter_zones("show zones where zone = zones and zones=nasr").unwrap_err();
    insta::assert_json_snapshot!(error);
}

#[test]
fn error_reply_about_part_of_word_has_no_caret() {
    let error = ErrorReply::about("unknown", "undrain zone nasr", "nas");
    assert_eq!(error, ErrorReply::new("unknown"));
}
