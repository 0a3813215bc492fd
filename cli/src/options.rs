use std::ffi::OsStr;
use std::path::PathBuf;
use std::str::FromStr;

use getopts::{Matches, Options as Parser};
use laburnumdeal_model::{CommandId, Version};

use crate::OptionsError;

/// Time to wait for instances when `--wait` has no value.
const DEFAULT_WAIT_MS: u64 = 5_000;

/// Timeout for a reply without `--timeout-ms`.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// What the program does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Action {
    /// Sends commands to instances.
    #[default]
    Run,
    /// Verifies a file of audit records.
    VerifyAuditFile(PathBuf),
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
}

/// Parsed command line of `laburnumctl`.
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
    /// What the program does.
    pub action: Action,
    /// Operator addresses (`HOST:PORT`) of instances, tried in this order.
    pub addresses: Vec<String>,
    /// File that contains the operator's token.
    pub token_file: Option<PathBuf>,
    /// Prints replies as JSON.
    pub json: bool,
    /// Prints the outcome of changes without making them.
    pub dry_run: bool,
    /// Makes changes even if they leave a service without room.
    pub force: bool,
    /// Maximum time to wait until every instance holds a change or is fenced; `None` uses the
    /// instance's default.
    pub wait_ms: Option<u64>,
    /// Id of the command; only with a command on the command line.
    pub command_id: Option<CommandId>,
    /// Configuration version that changes are based on; `None` accepts any.
    pub base: Option<Version>,
    /// Timeout for a reply; `wait_ms` is added to it.
    pub timeout_ms: u64,
    /// Command from the command line; `None` reads commands from standard input.
    pub command: Option<String>,
}

impl Options {
    /// Parses the arguments of the command line, without the program's name.
    ///
    /// # Errors
    ///
    /// Returns the first option that is not valid.
    pub fn parse<I>(args: I) -> Result<Self, OptionsError>
    where
        I: IntoIterator<Item: AsRef<OsStr>>,
    {
        let matches = parser().parse(args)?;
        let options = Self {
            action: parse_action(&matches),
            addresses: matches.opt_strs("address"),
            token_file: matches.opt_str("token-file").map(PathBuf::from),
            json: matches.opt_present("json"),
            dry_run: matches.opt_present("dry-run"),
            force: matches.opt_present("force"),
            wait_ms: parse_wait_ms(&matches)?,
            command_id: matches.opt_str("id").map(|id| id.parse()).transpose()?,
            base: parse_number(&matches, "base")?.map(Version),
            timeout_ms: parse_number(&matches, "timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS),
            command: (!matches.free.is_empty()).then(|| matches.free.join(" ")),
        };
        options.validate()?;
        Ok(options)
    }

    fn validate(&self) -> Result<(), OptionsError> {
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

/// Returns the parser of the command line, which also formats the help text of the options.
pub(crate) fn parser() -> Parser {
    let mut parser = Parser::new();
    parser
        .optmulti(
            "a",
            "address",
            "operator address of an instance; may be repeated, the next is tried when one is out of reach",
            "HOST:PORT",
        )
        .optopt("t", "token-file", "file that contains the operator's token", "FILE")
        .optflag("j", "json", "print replies as JSON, one object per line")
        .optflag("n", "dry-run", "print the outcome of a change without making it")
        .optflag("f", "force", "make a change even if it leaves a service without room")
        .optflagopt(
            "",
            "wait",
            "wait until every instance holds the change or is fenced, for at most 5000 ms or --wait=MS",
            "MS",
        )
        .optopt("i", "id", "id of the command; random for a change if absent", "ID")
        .optopt("b", "base", "version that the change is based on", "N")
        .optopt("", "timeout-ms", "timeout for a reply (default 10000); --wait adds to it", "MS")
        .optopt("", "file", "audit records for 'audit verify', as JSON lines", "FILE")
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version");
    parser
}

fn parse_action(matches: &Matches) -> Action {
    if matches.opt_present("help") {
        Action::Help
    } else if matches.opt_present("version") {
        Action::Version
    } else {
        let file = matches.opt_str("file").map(PathBuf::from);
        file.map_or(Action::Run, Action::VerifyAuditFile)
    }
}

fn parse_wait_ms(matches: &Matches) -> Result<Option<u64>, OptionsError> {
    let given = parse_number(matches, "wait")?;
    let default = matches.opt_present("wait").then_some(DEFAULT_WAIT_MS);
    Ok(given.or(default))
}

fn parse_number(matches: &Matches, option: &'static str) -> Result<Option<u64>, OptionsError> {
    let parse =
        |value: String| u64::from_str(&value).map_err(|_| OptionsError::Number { option, value });
    matches.opt_str(option).map(parse).transpose()
}

fn has_port(address: &str) -> bool {
    let port = address
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty());
    port.is_some_and(|(_, port)| port.parse::<u16>().is_ok())
}
