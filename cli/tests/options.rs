//! Tests of the command line, and of the program itself.

use std::process::{Command, Output};

use laburnumdeal_cli::{Action, Options, TOKEN_VARIABLE, Token, usage};

const ADDRESS: &str = "127.0.0.1:7003";

fn error(args: &[&str]) -> String {
    Options::parse(args).unwrap_err().to_string()
}

fn program(args: &[&str], token: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumctl"));
    command.args(args).env_remove(TOKEN_VARIABLE);
    command.envs(token.map(|token| (TOKEN_VARIABLE, token)));
    command.output().unwrap()
}

#[test]
fn options_read_words_join() {
    let options = Options::parse(["-a", ADDRESS, "show", "--json", "zones"]).unwrap();
    assert_eq!(options.command.as_deref(), Some("show zones"));
    assert!(options.json && options.action == Action::Run);
}

#[test]
fn options_read_wait_takes_no_word() {
    let options = Options::parse(["-a", ADDRESS, "--wait", "revert", "to", "7"]).unwrap();
    assert_eq!(options.wait_ms, Some(5_000));
    assert_eq!(options.command.as_deref(), Some("revert to 7"));
}

#[test]
fn options_read_wrong_values_are_named() {
    let wrong = [
        error(&[]),
        error(&["-a", "nasr-1"]),
        error(&["-a", ":7003"]),
        error(&["-a", ADDRESS, "--base", "new"]),
        error(&["-a", ADDRESS, "--wait=long"]),
        error(&["-a", ADDRESS, "--timeout-ms", "-1"]),
        error(&["-a", ADDRESS, "--id", "two words", "revert to 7"]),
        error(&["-a", ADDRESS, "--id", "c-1"]),
        error(&["-a", ADDRESS, "--file", "trail.jsonl", "show zones"]),
        error(&["--colour"]),
    ];
    insta::assert_snapshot!(wrong.join("\n"));
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
fn program_help_is_done() {
    for args in [["--help"], ["--version"]] {
        let output = program(&args, None);
        assert_eq!(output.status.code(), Some(0));
        assert!(output.stdout.starts_with(if args[0] == "--help" {
            b"Usage: "
        } else {
            b"laburnu"
        }));
    }
}

#[test]
fn program_wrong_options_are_usage() {
    assert_eq!(program(&["--colour"], Some("t")).status.code(), Some(2));
    assert_eq!(
        program(&["-a", ADDRESS, "show zones"], None).status.code(),
        Some(2)
    );
    let args = [
        "-a",
        ADDRESS,
        "--token-file",
        "/nowhere/token",
        "show zones",
    ];
    let output = program(&args, Some("t"));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("token file /nowhere/token: "));
}

#[test]
fn program_wrong_command_is_refused() {
    let output = program(&["-a", ADDRESS, "drain zne nasr"], Some("t"));
    assert_eq!(output.status.code(), Some(1));
}
