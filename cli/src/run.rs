use std::io::{self, BufRead, Write};
use std::path::Path;

use crate::render::{render_json, render_text};
use crate::session::verification_reply;
use crate::usage::command_help;
use crate::{CommandOutcome, Exit, Options, Session, verify_audit_file};

/// Input lines that end the program.
const QUIT_COMMANDS: [&str; 2] = ["exit", "quit"];

/// Kind of input that commands are read from when the command line has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Terminal: shows a prompt and continues after a failed command.
    Terminal,
    /// Pipe or file: stops at the first command that does not succeed.
    Pipe,
}

/// Runs the command of the options, or every line of `input` if there is none, and returns the
/// exit status.
///
/// # Errors
///
/// Returns an error if the input cannot be read or the output cannot be written; commands may have
/// run before.
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
    let outcome = run_command(session, text, &mut printer).await?;
    if let Err(error) = printer.print(&outcome) {
        // The command has run: the exit status still reports its outcome.
        let _ = writeln!(printer.err, "error: cannot print the reply: {error}");
    }
    Ok(outcome.exit())
}

/// Verifies a file of audit records, prints the result and returns the exit status.
///
/// # Errors
///
/// Returns an error if the output cannot be written.
pub fn run_file_verification<O: Write, E: Write>(
    file: &Path,
    options: &Options,
    out: O,
    err: E,
) -> io::Result<Exit> {
    let mut printer = Printer { options, out, err };
    let outcome = CommandOutcome::from(verification_reply(verify_audit_file(file)));
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
            "help" => writeln!(printer.out, "{}", command_help())?,
            _ if command.starts_with('#') => continue,
            _ if QUIT_COMMANDS.contains(&command) => return Ok(Exit::Done),
            _ => {
                let outcome = run_command(session, command, printer).await?;
                printer.print(&outcome)?;
                let exit = outcome.exit();
                if exit != Exit::Done && kind == Input::Pipe {
                    return Ok(exit);
                }
            }
        }
    }
}

async fn run_command<O: Write, E: Write>(
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

/// Writes replies to `out`. Prompts, command ids and, without `--json`, failures go to `err`.
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
