use derive_more::{Display, Error, From};
use laburnumdeal_model::CommandIdError;

/// Reports an option that is not valid.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum OptionsError {
    /// An option is unknown or lacks its value.
    #[display("{_0}")]
    Syntax(getopts::Fail),
    /// A value is no whole number.
    #[display("option --{option} has the value {value:?}; expected a whole number")]
    #[from(skip)]
    Number {
        /// Name of the option.
        option: &'static str,
        /// Value as given.
        value: String,
    },
    /// A value is no command id.
    #[display("option --id: {_0}")]
    CommandId(CommandIdError),
    /// An address has no port.
    #[display("option --address has the value {value:?}; expected HOST:PORT")]
    #[from(skip)]
    Address {
        /// Value as given.
        value: String,
    },
    /// No instance is named.
    #[display("no instance to ask; expected --address HOST:PORT")]
    #[from(skip)]
    NoAddress,
    /// One id is given for several commands.
    #[display("option --id names one command; expected the command after the options")]
    #[from(skip)]
    IdWithoutCommand,
    /// A file is given for a command that reads none.
    #[display("option --file is read by 'audit verify' only")]
    #[from(skip)]
    FileWithoutAudit,
}
