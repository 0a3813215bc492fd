use derive_more::{Display, Error, From};
use laburnumdeal_model::CommandIdError;

/// Reports why the command line is not valid.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum OptionsError {
    /// An option is unknown, repeated, or has a missing or unexpected value.
    #[display("{_0}")]
    Syntax(getopts::Fail),
    /// The value of an option is not a whole number.
    #[display("option --{option} has the value {value:?}; expected a whole number")]
    #[from(skip)]
    Number {
        /// Name of the option.
        option: &'static str,
        /// Value from the command line.
        value: String,
    },
    /// The value of `--id` is not a valid command id.
    #[display("option --id: {_0}")]
    CommandId(CommandIdError),
    /// An address lacks a host or a valid port.
    #[display("option --address has the value {value:?}; expected HOST:PORT")]
    #[from(skip)]
    Address {
        /// Value from the command line.
        value: String,
    },
    /// No address of an instance is given.
    #[display("no instance address given; expected --address HOST:PORT")]
    #[from(skip)]
    NoAddress,
    /// An id is given, but commands are read from the input, where several would share it.
    #[display("option --id identifies a single command; expected the command after the options")]
    #[from(skip)]
    IdWithoutCommand,
    /// A file is given with a command other than `audit verify`.
    #[display("option --file is valid only with the command 'audit verify'")]
    #[from(skip)]
    FileWithoutAudit,
}
