//! Command-line client for operators: sends commands to instances and prints their replies.
//!
//! ```
//! use laburnumdeal_cli::Options;
//!
//! let options = Options::parse(["--address", "127.0.0.1:7003", "show", "zones"])?;
//! assert_eq!(options.command.as_deref(), Some("show zones"));
//! # Ok::<(), laburnumdeal_cli::OptionsError>(())
//! ```

mod audit_chain;
mod audit_error;
mod client;
mod client_error;
mod client_settings;
mod command_outcome;
mod exchange;
mod exit;
mod options;
mod options_error;
mod prepared_command;
mod render;
mod run;
mod session;
mod token;
mod usage;
mod verify_audit_file;

pub use audit_chain::AuditChain;
pub use audit_error::AuditError;
pub use client::Client;
pub use client_error::ClientError;
pub use client_settings::ClientSettings;
pub use command_outcome::CommandOutcome;
pub use exit::Exit;
pub use options::{Action, Options};
pub use options_error::OptionsError;
pub use prepared_command::PreparedCommand;
pub use run::{Input, run, run_file_verification};
pub use session::Session;
pub use token::{TOKEN_VARIABLE, Token, TokenError};
pub use usage::{usage, version};
pub use verify_audit_file::verify_audit_file;
