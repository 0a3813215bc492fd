//! Binary `laburnumdeald`: runs one instance of laburnumdeal.

use std::path::Path;
use std::process::ExitCode;

use eyre::{Result, WrapErr};
use laburnumdeal_daemon::{Daemon, Options, open_logger};
use laburnumdeal_model::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// Maximum number of threads for blocking disk operations.
const BLOCKING_THREADS: usize = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laburnumdeald: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[String]) -> Result<()> {
    if arguments.is_empty()
        && let Some(path) = laburnumdeal_platform::settings_path()
    {
        return serve_on_platform(&path);
    }
    match Options::parse(arguments)? {
        Options::Help => print!("{}", Options::usage()),
        Options::Version => println!("laburnumdeald {}", env!("CARGO_PKG_VERSION")),
        Options::Check { settings } => {
            Settings::open(&settings)?;
            println!("{}: settings are correct", settings.display());
        }
        Options::Run { settings } => serve(&settings)?,
    }
    Ok(())
}

/// Runs an instance on the users' platform. The runtime is single-threaded because an instance has
/// only a fraction of a core.
fn serve_on_platform(path: &Path) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .build()?;
    runtime.block_on(laburnumdeal_platform::run(path))
}

#[tokio::main]
async fn serve(path: &Path) -> Result<()> {
    let settings = Settings::open(path)?;
    let (log, _flush) = open_logger(&settings.log_level, &settings.instance);
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("cannot install the handler of SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("cannot install the handler of SIGINT")?;
    let daemon = Daemon::spawn(settings, log).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
