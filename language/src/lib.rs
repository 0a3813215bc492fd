//! Query and command language for operators. The client and the instances share its grammar and
//! its [`Command`] type.
//!
//! ```
//! use laburnumdeal_language::parse;
//!
//! let command = parse("drain zone nasr at 2026-12-03T22:00Z for 1h by 10% every 30s", 0)?;
//! assert_eq!(parse(&command.to_string(), 0)?, command);
//! # Ok::<(), laburnumdeal_language::ParseError>(())
//! ```

mod byte_rate;
mod change_reply;
mod change_text;
mod command;
mod command_help;
mod command_line;
mod command_options;
mod duration_ms;
mod error_reply;
mod explain_subject;
mod filter;
mod grammar;
mod operator_reply;
mod operator_request;
mod parse;
mod parse_change;
mod parse_error;
mod parse_query;
mod quote;
mod share;
mod show;
mod show_subject;
mod syntax_node;
mod table;
mod utc_time;

pub use byte_rate::ByteRate;
pub use change_reply::ChangeReply;
pub use change_text::ChangeText;
pub use command::Command;
pub use command_help::{COMMAND_HELP, CommandHelp};
pub use command_line::CommandLine;
pub use command_options::CommandOptions;
pub use duration_ms::{DurationError, DurationMs};
pub use error_reply::ErrorReply;
pub use explain_subject::ExplainSubject;
pub use filter::{Filter, Relation};
pub use operator_reply::OperatorReply;
pub use operator_request::{COMMAND_PATH, OperatorRequest};
pub use parse::{MAX_COMMAND_BYTES, parse, parse_line};
pub use parse_error::ParseError;
pub use share::{Share, ShareError};
pub use show::Show;
pub use show_subject::{ShowSubject, ShowSubjectError};
pub use table::Table;
pub use utc_time::{UtcTime, UtcTimeError};
