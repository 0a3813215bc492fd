use std::io::{self, BufRead, Write};
use std::path::Path;

use crate::render::{render_json, render_text};
use crate::session::audit_reply;
use crate::usage::commands;
use crate::{CommandOutcome, Exit, Options, Session, verify_audit_file};

/// Words that end the prompt.
const LEAVE_WORDS: [&str; 2] = ["exit", "quit"];

/// Where commands come from when none is on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A terminal: a prompt is shown, and a failed command does not end it.
    Terminal,
    /// A pipe or file: the first command that is not done ends it.
    Pipe,
}

/// Runs the command of the options, or else every line of `input`, and returns the exit status.
///
/// # Errors
///
/// Returns the error of reading the input or writing the output; commands may have run before it.
pub async fn run<R: BufRead, O: Write, E: Write>(
    session: &Session,
    options: &Options,
    (kind, input): (Input, R),
    out: O,
    err: E,
) -> io::Result<Exit> {
    let mut printer = Printer { options, out, err };
    let Some(text) = &options.command else {
        return run_lines(session, (kind, input), &mut printer).await;
    };
    let outcome = run_one(session, text, &mut printer).await?;
    if let Err(error) = printer.print(&outcome) {
        // The status still tells what became of the command.
        let _ = writeln!(printer.err, "error: the answer is not printed: {error}");
    }
    Ok(outcome.exit())
}

/// Checks a file of audit records and returns the exit status.
///
/// # Errors
///
/// Returns the error of writing the output.
pub fn run_file_verification<O: Write, E: Write>(
    file: &Path,
    options: &Options,
    out: O,
    err: E,
) -> io::Result<Exit> {
    let mut printer = Printer { options, out, err };
    let outcome = CommandOutcome::from(audit_reply(verify_audit_file(file)));
    printer.print(&outcome)?;
    Ok(outcome.exit())
}

async fn run_lines<R: BufRead, O: Write, E: Write>(
    session: &Session,
    (kind, mut input): (Input, R),
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let mut text = String::new();
    loop {
        if kind == Input::Terminal {
            printer.prompt()?;
        }
        text.clear();
        if input.read_line(&mut text)? == 0 {
            return Ok(Exit::Done);
        }
        let command = text.trim();
        match command {
            "" => continue,
            "help" => writeln!(printer.out, "{}", commands())?,
            _ if command.starts_with('#') => continue,
            _ if LEAVE_WORDS.contains(&command) => return Ok(Exit::Done),
            _ => {
                let outcome = run_one(session, command, printer).await?;
                printer.print(&outcome)?;
                let exit = outcome.exit();
                if exit != Exit::Done && kind == Input::Pipe {
                    return Ok(exit);
                }
            }
        }
    }
}

async fn run_one<O: Write, E: Write>(
    session: &Session,
    text: &str,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<CommandOutcome> {
    match session.prepare(text) {
        Ok(prepared) => {
            if let Some(id) = &prepared.request.command_id {
                writeln!(printer.err, "command id {id}")?;
                printer.err.flush()?;
            }
            Ok(session.send(prepared).await)
        }
        Err(error) => Ok(error.into()),
    }
}

/// Writes answers to the output, and what went wrong beside it.
struct Printer<'a, O, E> {
    options: &'a Options,
    out: O,
    err: E,
}

impl<O: Write, E: Write> Printer<'_, O, E> {
    fn prompt(&mut self) -> io::Result<()> {
        write!(self.err, "laburnumctl> ")?;
        self.err.flush()
    }

    fn print(&mut self, outcome: &CommandOutcome) -> io::Result<()> {
        if self.options.json {
            writeln!(self.out, "{}", render_json(&outcome.reply)?)?;
        } else if matches!(outcome.exit(), Exit::Done) {
            writeln!(self.out, "{}", render_text(outcome))?;
        } else {
            writeln!(self.err, "{}", render_text(outcome))?;
        }
        if let Some(line) = outcome.retry_command_line(&self.options.addresses) {
            writeln!(self.err, "ask again with:\n  {line}")?;
        }
        self.out.flush()
    }
}
