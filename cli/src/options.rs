use std::ffi::OsStr;
use std::path::PathBuf;
use std::str::FromStr;

use getopts::{Matches, Options as Parser};
use laburnumdeal_model::{CommandId, Version};

use crate::OptionsError;

/// Time to wait for instances when `--wait` names none.
const DEFAULT_WAIT_MS: u64 = 5_000;

/// Time for an answer when `--timeout-ms` names none.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// What the client does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Action {
    /// Runs commands.
    #[default]
    Run,
    /// Checks a file of audit records.
    VerifyAuditFile(PathBuf),
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
}

/// Options of the command line.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::Options;
///
/// let options = Options::parse(["--address", "127.0.0.1:7003", "--wait", "revert", "to", "7"])?;
/// assert_eq!(options.wait_ms, Some(5_000));
/// assert_eq!(options.command.as_deref(), Some("revert to 7"));
/// # Ok::<(), laburnumdeal_cli::OptionsError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// What the client does.
    pub action: Action,
    /// Operator addresses of instances, tried in order.
    pub addresses: Vec<String>,
    /// File that holds the operator's token.
    pub token_file: Option<PathBuf>,
    /// Prints answers in JSON.
    pub json: bool,
    /// Reports the outcome of changes without making them.
    pub dry_run: bool,
    /// Accepts consequences that are refused otherwise.
    pub force: bool,
    /// Time to wait until every instance holds a change or is fenced.
    pub wait_ms: Option<u64>,
    /// Identity of the one command.
    pub command_id: Option<CommandId>,
    /// Version that the operator looked at.
    pub base: Option<Version>,
    /// Longest time for an answer, without the time to wait.
    pub timeout_ms: u64,
    /// The command; without one, commands are read from the input.
    pub command: Option<String>,
}

impl Options {
    /// Returns the options of a command line without the program's name.
    ///
    /// # Errors
    ///
    /// Returns the option that is not valid.
    pub fn parse<I>(args: I) -> Result<Self, OptionsError>
    where
        I: IntoIterator<Item: AsRef<OsStr>>,
    {
        let matches = parser().parse(args)?;
        let options = Self {
            action: action(&matches),
            addresses: matches.opt_strs("address"),
            token_file: matches.opt_str("token-file").map(PathBuf::from),
            json: matches.opt_present("json"),
            dry_run: matches.opt_present("dry-run"),
            force: matches.opt_present("force"),
            wait_ms: wait_ms(&matches)?,
            command_id: matches.opt_str("id").map(|id| id.parse()).transpose()?,
            base: number(&matches, "base")?.map(Version),
            timeout_ms: number(&matches, "timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS),
            command: (!matches.free.is_empty()).then(|| matches.free.join(" ")),
        };
        options.check()?;
        Ok(options)
    }

    fn check(&self) -> Result<(), OptionsError> {
        match self.action {
            Action::Help | Action::Version => return Ok(()),
            Action::VerifyAuditFile(_) if self.is_audit_verify() => return Ok(()),
            Action::VerifyAuditFile(_) => return Err(OptionsError::FileWithoutAudit),
            Action::Run if self.addresses.is_empty() => return Err(OptionsError::NoAddress),
            Action::Run => {}
        }
        if let Some(value) = self.addresses.iter().find(|a| !has_port(a)) {
            let value = value.clone();
            return Err(OptionsError::Address { value });
        }
        if self.command_id.is_some() && self.command.is_none() {
            return Err(OptionsError::IdWithoutCommand);
        }
        Ok(())
    }

    fn is_audit_verify(&self) -> bool {
        let words = self.command.iter().flat_map(|c| c.split_whitespace());
        words.eq(["audit", "verify"])
    }
}

/// Returns the parser of the command line, which also prints the help.
pub(crate) fn parser() -> Parser {
    let mut parser = Parser::new();
    parser
        .optmulti(
            "a",
            "address",
            "operator address of an instance; the next one given is tried when it is out of reach",
            "HOST:PORT",
        )
        .optopt("t", "token-file", "file that holds the token", "FILE")
        .optflag("j", "json", "print answers in JSON, one a line")
        .optflag("n", "dry-run", "print the outcome of a change, make none")
        .optflag("f", "force", "accept a service without room")
        .optflagopt(
            "",
            "wait",
            "wait until every instance holds the change or is fenced; 5000 ms unless given as --wait=MS",
            "MS",
        )
        .optopt("i", "id", "identity of the command", "ID")
        .optopt("b", "base", "version that the change is based on", "N")
        .optopt("", "timeout-ms", "time for an answer (10000)", "MS")
        .optopt("", "file", "audit records to check, JSON lines", "FILE")
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version");
    parser
}

fn action(matches: &Matches) -> Action {
    if matches.opt_present("help") {
        Action::Help
    } else if matches.opt_present("version") {
        Action::Version
    } else {
        let file = matches.opt_str("file").map(PathBuf::from);
        file.map_or(Action::Run, Action::VerifyAuditFile)
    }
}

fn wait_ms(matches: &Matches) -> Result<Option<u64>, OptionsError> {
    let given = number(matches, "wait")?;
    let default = matches.opt_present("wait").then_some(DEFAULT_WAIT_MS);
    Ok(given.or(default))
}

fn number(matches: &Matches, option: &'static str) -> Result<Option<u64>, OptionsError> {
    let read =
        |value: String| u64::from_str(&value).map_err(|_| OptionsError::Number { option, value });
    matches.opt_str(option).map(read).transpose()
}

fn has_port(address: &str) -> bool {
    let port = address
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty());
    port.is_some_and(|(_, port)| port.parse::<u16>().is_ok())
}
