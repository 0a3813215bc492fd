use pest::Parser;

use crate::grammar::{Grammar, Rule, convert_error};
use crate::parse_change::parse_change;
use crate::parse_query::{parse_audit, parse_explain, parse_history, parse_show};
use crate::syntax_node::SyntaxNode;
use crate::{Command, CommandLine, CommandOptions, ParseError};

/// Maximum length of a command in bytes.
pub const MAX_COMMAND_BYTES: usize = 64 * 1024;

/// Parses a command without options. `now_ms` is the time that `now` and `in 10m` refer to, in
/// milliseconds since the Unix epoch.
///
/// # Errors
///
/// Returns an error that points at the word that the grammar does not accept, or at the first
/// option: only [`parse_line`] and [`OperatorRequest::parse`](crate::OperatorRequest::parse)
/// accept options.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::parse;
///
/// let command = parse("cap link cairo to delta at 4 Gbit per s", 0)?;
/// assert_eq!(command.to_string(), "cap link cairo to delta at 4 Gbit per s");
/// assert!(parse("cap link cairo to delta at 4 apples per s", 0).is_err());
/// # Ok::<(), laburnumdeal_language::ParseError>(())
/// ```
pub fn parse(text: &str, now_ms: u64) -> Result<Command, ParseError> {
    let root = parse_syntax(text)?;
    let option = root.children().find(|child| is_option(child.rule()));
    match option {
        Some(option) => Err(option.error("options are not part of a command".to_owned(), &[])),
        None => Ok(parse_command_line(&root, now_ms)?.command),
    }
}

/// Parses a command with its options. `now_ms` is as in [`parse`].
///
/// # Errors
///
/// Returns an error that points at the word that the grammar does not accept, such as an option
/// after a query.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::parse_line;
///
/// let line = parse_line("undrain zone nasr based on 7 dry-run", 0)?;
/// assert!(line.options.dry_run);
/// assert_eq!(line.command.to_string(), "undrain zone nasr");
/// # Ok::<(), laburnumdeal_language::ParseError>(())
/// ```
pub fn parse_line(text: &str, now_ms: u64) -> Result<CommandLine, ParseError> {
    parse_command_line(&parse_syntax(text)?, now_ms)
}

fn parse_syntax(text: &str) -> Result<SyntaxNode<'_>, ParseError> {
    if text.len() > MAX_COMMAND_BYTES {
        let problem = format!(
            "the command has {} bytes; at most {MAX_COMMAND_BYTES} are accepted",
            text.len()
        );
        return Err(ParseError::at("", 0, Vec::new()).with_problem(problem));
    }
    let pairs = Grammar::parse(Rule::line, text).map_err(|error| convert_error(text, &error))?;
    let root = pairs.into_iter().next();
    root.map(|pair| SyntaxNode::new(text, pair))
        .ok_or_else(|| ParseError::at(text, 0, Vec::new()))
}

fn parse_command_line(line: &SyntaxNode<'_>, now_ms: u64) -> Result<CommandLine, ParseError> {
    let first = line
        .children()
        .next()
        .ok_or_else(|| line.error("the command is empty".to_owned(), &[]))?;
    let command = match first.rule() {
        Rule::show => Command::Show(parse_show(&first)?),
        Rule::explain => Command::Explain(parse_explain(&first)?),
        Rule::history => parse_history(&first)?,
        Rule::audit => parse_audit(&first)?,
        _ => Command::Change(parse_change(&first, now_ms)?),
    };
    Ok(CommandLine {
        command,
        options: parse_options(line)?,
    })
}

fn parse_options(line: &SyntaxNode<'_>) -> Result<CommandOptions, ParseError> {
    let base = line.at_most_one(Rule::base)?;
    Ok(CommandOptions {
        force: line.at_most_one(Rule::force)?.is_some(),
        dry_run: line.at_most_one(Rule::dry_run)?.is_some(),
        base: base
            .map(|base| base.parse_number())
            .transpose()?
            .map(Into::into),
    })
}

fn is_option(rule: Rule) -> bool {
    matches!(rule, Rule::force | Rule::dry_run | Rule::base)
}
