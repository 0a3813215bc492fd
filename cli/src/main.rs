//! Command-line client for operators of laburnumdeal.

use std::env;
use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;

use eyre::WrapErr;
use laburnumdeal_cli::{
    Action, Client, ClientSettings, Exit, Input, Options, Session, TOKEN_VARIABLE, Token, run,
    run_file_verification, usage, version,
};

/// Timeout for establishing a TCP connection to an instance.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let exit = match Options::parse(env::args_os().skip(1)) {
        Ok(options) => run_action(options).await,
        Err(error) => Ok(usage_error(&format!("{error}; see laburnumctl --help"))),
    };
    let exit = exit.unwrap_or_else(|report| {
        print_error(&format!("{report:#}"));
        Exit::Unknown
    });
    exit.into()
}

async fn run_action(options: Options) -> eyre::Result<Exit> {
    let mut out = io::stdout();
    match &options.action {
        Action::Help => writeln!(out, "{}", usage())?,
        Action::Version => writeln!(out, "{}", version())?,
        Action::VerifyAuditFile(file) => {
            return run_file_verification(file, &options, out, io::stderr())
                .wrap_err("cannot print the result of the audit file check");
        }
        Action::Run => return run_commands(options).await,
    }
    Ok(Exit::Done)
}

async fn run_commands(options: Options) -> eyre::Result<Exit> {
    let variable = env::var(TOKEN_VARIABLE).ok();
    let token = match Token::read(options.token_file.as_deref(), variable.as_deref()) {
        Ok(token) => token,
        Err(error) => return Ok(usage_error(&error.to_string())),
    };
    let client = Client::new(ClientSettings {
        addresses: options.addresses.clone(),
        token,
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        timeout_ms: options.timeout_ms,
    });
    let session = Session::new(client, options.clone());
    let input = io::stdin();
    let kind = if input.is_terminal() {
        Input::Terminal
    } else {
        Input::Pipe
    };
    let source = (kind, input.lock());
    let exit = run(&session, &options, source, io::stdout(), io::stderr()).await;
    exit.wrap_err("cannot read commands or print replies")
}

fn usage_error(message: &str) -> Exit {
    print_error(message);
    Exit::Usage
}

fn print_error(message: &str) {
    // A failed write to standard error cannot be reported anywhere else.
    let _ = writeln!(io::stderr(), "error: {message}");
}
