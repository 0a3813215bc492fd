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
    /// Identifier of a change; resending the change under it returns the first outcome.
    #[serde(default)]
    pub command_id: Option<CommandId>,
    /// Version that the change is based on; `None` accepts any.
    #[serde(default)]
    pub base: Option<Version>,
    /// Reports the outcome without making the change.
    #[serde(default)]
    pub dry_run: bool,
    /// Accepts a change that leaves a service without an upstream that takes work.
    #[serde(default)]
    pub force: bool,
    /// Maximum time to wait until every instance holds the change or is fenced; `None` uses the
    /// instance's default.
    #[serde(default)]
    pub wait_ms: Option<u64>,
}

impl OperatorRequest {
    /// Returns a request for a query, without an id and options.
    pub fn query(command: impl Into<String>) -> Self {
        Self {
            command: command.into(),
            ..Self::default()
        }
    }

    /// Parses the command text and merges its options with those in the request's fields. `now_ms`
    /// is as in [`parse`](crate::parse()).
    ///
    /// # Errors
    ///
    /// Returns an error that points at the word that the grammar does not accept, or at `based`
    /// when the text and the field name different base versions.
    pub fn parse(&self, now_ms: u64) -> Result<CommandLine, ParseError> {
        let mut line = parse_line(&self.command, now_ms)?;
        let options = &mut line.options;
        if let (Some(field_base), Some(text_base)) = (self.base, options.base)
            && field_base != text_base
        {
            let offset = self.command.rfind("based").unwrap_or(0);
            let problem = format!("the text is based on {text_base}, the request on {field_base}");
            return Err(ParseError::at(&self.command, offset, Vec::new()).with_problem(problem));
        }
        options.base = options.base.or(self.base);
        options.dry_run |= self.dry_run;
        options.force |= self.force;
        Ok(line)
    }
}
