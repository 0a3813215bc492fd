use std::path::PathBuf;

use derive_more::{Display, Error};
use getopts::Options as Parser;

/// Command line of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Options {
    /// Run an instance with a settings file.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Check a settings file and exit.
    Check {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Print the usage and exit.
    Help,
    /// Print the version and exit.
    Version,
}

/// Reports what is wrong with a command line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum OptionsError {
    /// An option is unknown or lacks its value.
    #[display("{reason}")]
    Parse {
        /// What is wrong.
        reason: String,
    },
    /// The option for the settings file is missing.
    #[display("option --settings FILE is missing")]
    MissingSettings,
    /// There is an argument that is not an option.
    #[display("argument {word:?} is not expected; expected options only")]
    UnexpectedArgument {
        /// First such argument.
        word: String,
    },
}

impl Options {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns the first argument that is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_daemon::Options;
    ///
    /// let options = Options::parse(&["--check".into(), "--settings".into(), "a.jsonc".into()])?;
    /// assert_eq!(options, Options::Check { settings: "a.jsonc".into() });
    /// # Ok::<(), laburnumdeal_daemon::OptionsError>(())
    /// ```
    pub fn parse(arguments: &[String]) -> Result<Self, OptionsError> {
        let matches = parser()
            .parse(arguments)
            .map_err(|error| OptionsError::Parse {
                reason: error.to_string(),
            })?;
        if matches.opt_present("help") {
            return Ok(Self::Help);
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        if let Some(word) = matches.free.first() {
            return Err(OptionsError::UnexpectedArgument { word: word.clone() });
        }
        let settings = matches
            .opt_str("settings")
            .ok_or(OptionsError::MissingSettings)?
            .into();
        match matches.opt_present("check") {
            true => Ok(Self::Check { settings }),
            false => Ok(Self::Run { settings }),
        }
    }

    /// Returns the text of `--help`.
    pub fn usage() -> String {
        parser().usage("Usage: laburnumdeald --settings FILE [--check]")
    }
}

fn parser() -> Parser {
    let mut parser = Parser::new();
    parser.optopt("s", "settings", "settings file, JSON with comments", "FILE");
    parser.optflag("c", "check", "check the settings and exit");
    parser.optflag("h", "help", "print this text and exit");
    parser.optflag("V", "version", "print the version and exit");
    parser
}
