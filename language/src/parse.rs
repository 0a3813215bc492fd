use pest::Parser;

use crate::grammar::{Grammar, Rule, parse_error};
use crate::parse_change::read_change;
use crate::parse_query::{read_audit, read_explain, read_history, read_show};
use crate::tokens::Tokens;
use crate::{Command, CommandLine, CommandOptions, ParseError};

/// Longest accepted command.
pub const MAX_COMMAND_BYTES: usize = 64 * 1024;

/// Returns the command that `text` stands for; `now_ms` is what `now` and `in 10m` refer to.
///
/// # Errors
///
/// Returns the word that the grammar does not accept. Options after the command are refused;
/// [`parse_line`] and [`OperatorRequest::parse`](crate::OperatorRequest::parse) return them.
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
    let tokens = read_tokens(text)?;
    let option = tokens.children().find(|child| is_option(child.rule()));
    match option {
        Some(option) => Err(option.error("options are not part of a command".to_owned(), &[])),
        None => Ok(read_line(&tokens, now_ms)?.command),
    }
}

/// Returns the command and the options that `text` stands for.
///
/// # Errors
///
/// Returns the word that the grammar does not accept, such as an option after a query.
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
    read_line(&read_tokens(text)?, now_ms)
}

fn read_tokens(text: &str) -> Result<Tokens<'_>, ParseError> {
    if text.len() > MAX_COMMAND_BYTES {
        let problem = format!(
            "the command has {} bytes; at most {MAX_COMMAND_BYTES} are accepted",
            text.len()
        );
        return Err(ParseError::at("", 0, Vec::new()).with_problem(problem));
    }
    let parsed = Grammar::parse(Rule::line, text).map_err(|error| parse_error(text, &error))?;
    let line = parsed.into_iter().next();
    line.map(|pair| Tokens::new(text, pair))
        .ok_or_else(|| ParseError::at(text, 0, Vec::new()))
}

fn read_line(line: &Tokens<'_>, now_ms: u64) -> Result<CommandLine, ParseError> {
    let first = line
        .children()
        .next()
        .ok_or_else(|| line.error("the command is empty".to_owned(), &[]))?;
    let command = match first.rule() {
        Rule::show => Command::Show(read_show(&first)?),
        Rule::explain => Command::Explain(read_explain(&first)?),
        Rule::history => read_history(&first)?,
        Rule::audit => read_audit(&first)?,
        _ => Command::Change(read_change(&first, now_ms)?),
    };
    Ok(CommandLine {
        command,
        options: read_options(line)?,
    })
}

fn read_options(line: &Tokens<'_>) -> Result<CommandOptions, ParseError> {
    let base = line.at_most_one(Rule::base)?;
    Ok(CommandOptions {
        force: line.at_most_one(Rule::force)?.is_some(),
        dry_run: line.at_most_one(Rule::dry_run)?.is_some(),
        base: base.map(|base| base.number()).transpose()?.map(Into::into),
    })
}

fn is_option(rule: Rule) -> bool {
    matches!(rule, Rule::force | Rule::dry_run | Rule::base)
}
