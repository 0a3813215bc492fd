//! Tests of the command-line options and of the `laburnumctl` binary.

use std::process::{Command, Output};

use laburnumdeal_cli::{Action, Options, TOKEN_VARIABLE, Token, usage};

const ADDRESS: &str = "127.0.0.1:7003";

fn parse_error(args: &[&str]) -> String {
    Options::parse(args).unwrap_err().to_string()
}

fn run_program(args: &[&str], token: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumctl"));
    command.args(args).env_remove(TOKEN_VARIABLE);
    command.envs(token.map(|token| (TOKEN_VARIABLE, token)));
    command.output().unwrap()
}

#[test]
fn options_parse_joins_words() {
    let options = Options::parse(["-a", ADDRESS, "show", "--json", "zones"]).unwrap();
    assert_eq!(options.command.as_deref(), Some("show zones"));
    assert!(options.json && options.action == Action::Run);
}

#[test]
fn options_parse_wait_consumes_no_argument() {
    let options = Options::parse(["-a", ADDRESS, "--wait", "revert", "to", "7"]).unwrap();
    assert_eq!(options.wait_ms, Some(5_000));
    assert_eq!(options.command.as_deref(), Some("revert to 7"));
}

#[test]
fn options_parse_invalid_values_are_named() {
    let errors = [
        parse_error(&[]),
        parse_error(&["-a", "nasr-1"]),
        parse_error(&["-a", ":7003"]),
        parse_error(&["-a", ADDRESS, "--base", "new"]),
        parse_error(&["-a", ADDRESS, "--wait=long"]),
        parse_error(&["-a", ADDRESS, "--timeout-ms", "-1"]),
        parse_error(&["-a", ADDRESS, "--id", "two words", "revert to 7"]),
        parse_error(&["-a", ADDRESS, "--id", "c-1"]),
        parse_error(&["-a", ADDRESS, "--file", "trail.jsonl", "show zones"]),
        parse_error(&["--colour"]),
    ];
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn token_debug_is_hidden() {
    let token = Token::parse(" secret-of-nadia\n").unwrap();
    assert_eq!(format!("{token:?}"), "Token(hidden)");
    assert!(Token::parse("two\nlines").is_err());
    assert!(Token::parse(" \n").is_err());
}

#[test]
fn usage_lists_exit_statuses() {
    insta::assert_snapshot!(usage());
}

#[test]
fn program_help_succeeds() {
    for args in [["--help"], ["--version"]] {
        let output = run_program(&args, None);
        assert_eq!(output.status.code(), Some(0));
        assert!(output.stdout.starts_with(if args[0] == "--help" {
            b"Usage: "
        } else {
            b"laburnu"
        }));
    }
}

#[test]
fn program_invalid_options_exit_with_usage() {
    assert_eq!(run_program(&["--colour"], Some("t")).status.code(), Some(2));
    assert_eq!(
        run_program(&["-a", ADDRESS, "show zones"], None)
            .status
            .code(),
        Some(2)
    );
    let args = [
        "-a",
        ADDRESS,
        "--token-file",
        "/nowhere/token",
        "show zones",
    ];
    let output = run_program(&args, Some("t"));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("token file /nowhere/token: "));
}

#[test]
fn program_invalid_command_is_refused() {
    let output = run_program(&["-a", ADDRESS, "drain zne nasr"], Some("t"));
    assert_eq!(output.status.code(), Some(1));
}
