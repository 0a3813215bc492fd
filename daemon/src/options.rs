use std::path::PathBuf;

use derive_more::{Display, Error};
use getopts::Options as Parser;

/// Command line of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Options {
    /// Run with a settings file.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Check a settings file and end.
    Check {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Print the usage and end.
    Help,
    /// Print the version and end.
    Version,
}

/// Reports what is wrong in a command line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum OptionsError {
    /// An option is unknown or lacks its value.
    #[display("{reason}")]
    Parse {
        /// What is wrong.
        reason: String,
    },
    /// The settings file is not named.
    #[display("option --settings FILE is missing")]
    NoSettings,
    /// There are words that are no options.
    #[display("argument {word:?} is not expected; expected options only")]
    Extra {
        /// First such word.
        word: String,
    },
}

impl Options {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns the first argument that is wrong.
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
            return Err(OptionsError::Extra { word: word.clone() });
        }
        let settings = matches
            .opt_str("settings")
            .ok_or(OptionsError::NoSettings)?
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
    parser.optflag("c", "check", "check the settings and end");
    parser.optflag("h", "help", "print this text and end");
    parser.optflag("V", "version", "print the version and end");
    parser
}
