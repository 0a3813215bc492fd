//! Tests of the parser on the commands in `tests/commands`.

use std::fmt::Write;

use laburnumdeal_language::{MAX_COMMAND_BYTES, parse, parse_line};

/// Time that `now` refers to: 2026-12-03T22:00Z.
const NOW_MS: u64 = 1_796_335_200_000;

fn report(commands: &str) -> String {
    let mut report = String::new();
    for text in commands.lines() {
        let outcome = match parse_line(text, NOW_MS) {
            Ok(line) => line.to_string(),
            Err(error) => error.to_string(),
        };
        writeln!(report, "> {text}\n{outcome}\n").unwrap();
    }
    report
}

fn assert_round_trips(commands: &str) {
    for text in commands.lines() {
        let line = parse_line(text, NOW_MS).unwrap();
        assert_eq!(parse_line(&line.to_string(), 0), Ok(line), "{text}");
    }
}

#[test]
fn parse_line_queries_are_canonical() {
    let commands = include_str!("commands/accepted_queries.txt");
    assert_round_trips(commands);
    insta::assert_snapshot!(report(commands));
}

#[test]
fn parse_line_changes_are_canonical() {
    let commands = include_str!("commands/accepted_changes.txt");
    assert_round_trips(commands);
    insta::assert_snapshot!(report(commands));
}

#[test]
fn parse_line_refused_points_at_word() {
    let commands = include_str!("commands/refused.txt");
    for text in commands.lines() {
        assert!(parse_line(text, NOW_MS).is_err(), "{text}");
    }
    insta::assert_snapshot!(report(commands));
}

#[test]
fn parse_options_are_refused() {
    let error = parse("revert to 7 dry-run", NOW_MS).unwrap_err();
    assert_eq!((error.offset, error.word.as_str()), (12, "dry-run"));
}

#[test]
fn parse_long_command_is_refused() {
    let text = format!("unsteer {}", "1".repeat(MAX_COMMAND_BYTES));
    let error = parse(&text, NOW_MS).unwrap_err();
    assert!(error.to_string().contains("65544 bytes"), "{error}");
}
