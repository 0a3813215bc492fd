//! Command-line client for operators of laburnumdeal.

use std::env;
use std::io::{self, IsTerminal};
use std::process::ExitCode;

use eyre::WrapErr;
use laburnumdeal_cli::{
    Action, Client, ClientSettings, Exit, Input, Options, Session, TOKEN_VARIABLE, Token, run,
    run_file, usage, version,
};

/// Longest time for a connection to be made.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<ExitCode> {
    let options = match Options::read(env::args_os().skip(1)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}\nsee laburnumctl --help");
            return Ok(Exit::Usage.into());
        }
    };
    match &options.action {
        Action::Help => println!("{}", usage()),
        Action::Version => println!("{}", version()),
        Action::CheckFile(file) => {
            let exit = run_file(file, &options, io::stdout(), io::stderr());
            return Ok(exit.wrap_err("printing the check")?.into());
        }
        Action::Run => return run_commands(options).await,
    }
    Ok(Exit::Done.into())
}

async fn run_commands(options: Options) -> eyre::Result<ExitCode> {
    let variable = env::var(TOKEN_VARIABLE).ok();
    let token = match Token::read(options.token_file.as_deref(), variable.as_deref()) {
        Ok(token) => token,
        Err(error) => {
            eprintln!("error: {error}");
            return Ok(Exit::Usage.into());
        }
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
    let exit = run(
        &session,
        &options,
        (kind, input.lock()),
        io::stdout(),
        io::stderr(),
    )
    .await
    .wrap_err("reading commands or printing answers")?;
    Ok(exit.into())
}
