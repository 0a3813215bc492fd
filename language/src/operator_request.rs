use laburnumdeal_model::{CommandId, Version};
use serde::{Deserialize, Serialize};

use crate::{CommandLine, ParseError, parse_line};

/// Path that takes an [`OperatorRequest`] by `POST` on an instance's operator address.
pub const COMMAND_PATH: &str = "/v1/command";

/// Command of an operator as sent to an instance, in JSON.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::OperatorRequest;
///
/// let text = r#"{"command":"revert to 7 dry-run"}"#;
/// let request: OperatorRequest = serde_json::from_str(text)?;
/// let line = request.parse(0).unwrap();
/// assert!(line.options.dry_run);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRequest {
    /// Text of the command.
    pub command: String,
    /// Identity of a change; a resend under the same id gets the first answer.
    #[serde(default)]
    pub command_id: Option<CommandId>,
    /// Version that the operator looked at; `None` accepts any.
    #[serde(default)]
    pub base: Option<Version>,
    /// Reports the outcome without making the change.
    #[serde(default)]
    pub dry_run: bool,
    /// Accepts consequences that are refused otherwise.
    #[serde(default)]
    pub force: bool,
    /// Time to wait until every instance holds the change or is fenced.
    #[serde(default)]
    pub wait_ms: Option<u64>,
}

impl OperatorRequest {
    /// Returns the request of a query, which has no id and no options.
    pub fn query(command: impl Into<String>) -> Self {
        Self {
            command: command.into(),
            ..Self::default()
        }
    }

    /// Returns the command with the options of the request's fields and of its text together.
    ///
    /// # Errors
    ///
    /// Returns the word that the grammar does not accept, or the word `based` when text and
    /// field name different versions.
    pub fn parse(&self, now_ms: u64) -> Result<CommandLine, ParseError> {
        let mut line = parse_line(&self.command, now_ms)?;
        let options = &mut line.options;
        if let (Some(field), Some(word)) = (self.base, options.base)
            && field != word
        {
            let offset = self.command.rfind("based").unwrap_or(0);
            let problem = format!("the text is based on {word}, the request on {field}");
            return Err(ParseError::at(&self.command, offset, Vec::new()).with_problem(problem));
        }
        options.base = options.base.or(self.base);
        options.dry_run |= self.dry_run;
        options.force |= self.force;
        Ok(line)
    }
}
