//! Client for operators: sends commands to instances and prints their answers.
//!
//! ```
//! use laburnumdeal_cli::Options;
//!
//! let options = Options::read(["--address", "127.0.0.1:7003", "show", "zones"])?;
//! assert_eq!(options.command.as_deref(), Some("show zones"));
//! # Ok::<(), laburnumdeal_cli::OptionsError>(())
//! ```

mod audit_chain;
mod audit_error;
mod audit_file;
mod client;
mod client_error;
mod client_settings;
mod exchange;
mod exit;
mod options;
mod options_error;
mod outcome;
mod prepared;
mod render;
mod run;
mod session;
mod token;
mod usage;

pub use audit_chain::AuditChain;
pub use audit_error::AuditError;
pub use audit_file::check_audit_file;
pub use client::Client;
pub use client_error::ClientError;
pub use client_settings::ClientSettings;
pub use exit::Exit;
pub use options::{Action, Options};
pub use options_error::OptionsError;
pub use outcome::Outcome;
pub use prepared::Prepared;
pub use run::{Input, run, run_file};
pub use session::Session;
pub use token::{TOKEN_VARIABLE, Token, TokenError};
pub use usage::{usage, version};
