use laburnumdeal_language::{ErrorReply, OperatorReply, OperatorRequest, ParseError};

use crate::Exit;

/// Reply to one command, with the request that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutcome {
    /// Request as sent. `None` if the command did not parse, or if the audit trail was read in pages
    /// or from a file.
    pub request: Option<OperatorRequest>,
    /// Reply of an instance, or one that the client composed, for example if the reply was lost.
    pub reply: OperatorReply,
}

impl CommandOutcome {
    /// Returns the exit status that reports the reply.
    pub fn exit(&self) -> Exit {
        Exit::from_reply(&self.reply)
    }

    /// Returns the command line that resends the command under the same id, or `None` unless the
    /// outcome is unknown.
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
