//! Parser that `pest` derives from `language.pest`, and the words that parse errors name for its
//! rules.

use pest::error::{Error, ErrorVariant, InputLocation};
use pest_derive::Parser;

use crate::{ParseError, ShowSubject};

#[derive(Parser)]
#[grammar = "language.pest"]
pub(crate) struct Grammar;

/// Converts an error of `pest` to one that points at the furthest position that the parser
/// reached and names what the grammar expects there.
pub(crate) fn convert_error(text: &str, error: &Error<Rule>) -> ParseError {
    let offset = match error.location {
        InputLocation::Pos(offset) | InputLocation::Span((offset, _)) => offset,
    };
    let rules = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => positives.as_slice(),
        ErrorVariant::CustomError { .. } => &[],
    };
    let mut expected = Vec::new();
    for word in rules.iter().flat_map(|rule| expected_words(*rule)) {
        if !expected.contains(&word) {
            expected.push(word);
        }
    }
    ParseError::at(text, offset, expected)
}

fn expected_words(rule: Rule) -> Vec<String> {
    let quoted = |words: &[&str]| words.iter().map(|word| format!("'{word}'")).collect();
    match rule {
        Rule::line | Rule::show | Rule::explain | Rule::drain => quoted(&COMMAND_WORDS),
        Rule::show_subject => quoted(&ShowSubject::ALL.map(ShowSubject::name)),
        Rule::target | Rule::target_kind => quoted(&["upstream", "zone", "region"]),
        Rule::start => quoted(&["at", "in", "now"]),
        Rule::share | Rule::permille | Rule::percent => description("a share such as 10%"),
        Rule::time | Rule::timestamp | Rule::epoch_ms => {
            description("a time such as 2026-12-03T22:00Z, 'now' or 'in 10m'")
        }
        Rule::duration => description("a duration such as 10m"),
        Rule::per_second => quoted(&["per s"]),
        Rule::byte_unit => quoted(&["B", "KB", "MB", "GB", "Kbit", "Mbit", "Gbit"]),
        Rule::relation => quoted(&["=", "!="]),
        Rule::number => description("a whole number"),
        Rule::name => description("a name"),
        Rule::service => description("a service"),
        Rule::block => description("a block of addresses such as 10.1.0.0/16"),
        Rule::address => description("an address"),
        Rule::column => description("a column"),
        Rule::quoted | Rule::plain | Rule::inner | Rule::value => {
            description("a word or a quoted text")
        }
        Rule::key => description("a key"),
        Rule::request_id => description("the id of a request"),
        Rule::EOI => description("the end of the command"),
        other => quoted(leading_keywords(other)),
    }
}

fn description(text: &str) -> Vec<String> {
    vec![text.to_owned()]
}

/// First words of all commands.
const COMMAND_WORDS: [&str; 11] = [
    "show", "explain", "drain", "undrain", "cap", "allow", "steer", "unsteer", "history", "revert",
    "audit",
];

/// Returns the keywords that a match of a rule can begin with.
fn leading_keywords(rule: Rule) -> &'static [&'static str] {
    match rule {
        Rule::show_word => &["show"],
        Rule::filters | Rule::where_word => &["where"],
        Rule::and_word => &["and"],
        Rule::explain_word => &["explain"],
        Rule::explain_request | Rule::request_word => &["request"],
        Rule::from_word | Rule::audit_from => &["from"],
        Rule::key_word => &["key"],
        Rule::history | Rule::history_word => &["history"],
        Rule::last | Rule::last_word => &["last"],
        Rule::since | Rule::since_word => &["since"],
        Rule::audit | Rule::audit_word => &["audit"],
        Rule::audit_verify => &["verify"],
        Rule::audit_records | Rule::records_word => &["records"],
        Rule::audit_limit | Rule::limit_word => &["limit"],
        Rule::drain_word => &["drain"],
        Rule::at_word => &["at"],
        Rule::now => &["now"],
        Rule::delay | Rule::in_word => &["in"],
        Rule::length | Rule::for_word => &["for"],
        Rule::pace | Rule::by_word => &["by"],
        Rule::every_word => &["every"],
        Rule::undrain | Rule::undrain_word => &["undrain"],
        Rule::cap | Rule::cap_word => &["cap"],
        Rule::cap_shift | Rule::shift_word => &["shift"],
        Rule::cap_region | Rule::region_word => &["region"],
        Rule::cap_link | Rule::link_word => &["link"],
        Rule::to_word => &["to"],
        Rule::allow | Rule::allow_word => &["allow"],
        Rule::upstreams_word => &["upstreams"],
        Rule::steer | Rule::steer_word => &["steer"],
        Rule::unsteer | Rule::unsteer_word => &["unsteer"],
        Rule::revert | Rule::revert_word => &["revert"],
        Rule::comma => &[","],
        Rule::force => &["force"],
        Rule::dry_run => &["dry-run"],
        Rule::base | Rule::based_word => &["based on"],
        Rule::on_word => &["on"],
        _ => &[],
    }
}
