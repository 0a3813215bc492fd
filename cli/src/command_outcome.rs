use laburnumdeal_language::{ErrorReply, OperatorReply, OperatorRequest, ParseError};

use crate::Exit;

/// Answer to one command and the request that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutcome {
    /// Request as sent; `None` when nothing was sent.
    pub request: Option<OperatorRequest>,
    /// Answer, or what stands in for a lost one.
    pub reply: OperatorReply,
}

impl CommandOutcome {
    /// Returns the exit status that the answer stands for.
    pub fn exit(&self) -> Exit {
        Exit::from_reply(&self.reply)
    }

    /// Returns the command line that asks again under the same id, for an unknown outcome.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_cli::CommandOutcome;
    /// use laburnumdeal_language::{OperatorReply, OperatorRequest};
    ///
    /// let id: laburnumdeal_model::CommandId = "c-1".parse()?;
    /// let request = OperatorRequest {
    ///     command_id: Some(id.clone()),
    ///     ..OperatorRequest::query("revert to 7")
    /// };
    /// let reply = OperatorReply::Unknown { command_id: id, reason: "timeout".into() };
    /// let outcome = CommandOutcome { request: Some(request), reply };
    /// assert_eq!(outcome.retry_command_line(&[]).unwrap(), "laburnumctl --id c-1 'revert to 7'");
    /// # Ok::<(), laburnumdeal_model::CommandIdError>(())
    /// ```
    pub fn retry_command_line(&self, addresses: &[String]) -> Option<String> {
        let request = self.request.as_ref()?;
        let (OperatorReply::Unknown { .. }, Some(id)) = (&self.reply, &request.command_id) else {
            return None;
        };
        let mut words = vec!["laburnumctl".to_owned()];
        words.extend(addresses.iter().map(|a| format!("--address {a}")));
        words.push(format!("--id {id}"));
        words.extend(request.base.map(|base| format!("--base {base}")));
        words.extend(request.force.then(|| "--force".to_owned()));
        words.push(format!("'{}'", request.command));
        Some(words.join(" "))
    }
}

impl From<ParseError> for CommandOutcome {
    fn from(error: ParseError) -> Self {
        Self {
            request: None,
            reply: OperatorReply::Error(ErrorReply::from(error)),
        }
    }
}

impl From<OperatorReply> for CommandOutcome {
    fn from(reply: OperatorReply) -> Self {
        Self {
            request: None,
            reply,
        }
    }
}
