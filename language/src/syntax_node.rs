use std::fmt::Display;
use std::str::FromStr;

use pest::iterators::Pair;

use crate::ParseError;
use crate::grammar::Rule;
use crate::quote::unescape;

/// Node of the syntax tree: the match of one grammar rule, with the text of the whole command for
/// errors.
#[derive(Clone)]
pub(crate) struct SyntaxNode<'a> {
    text: &'a str,
    pair: Pair<'a, Rule>,
}

impl<'a> SyntaxNode<'a> {
    pub(crate) fn new(text: &'a str, pair: Pair<'a, Rule>) -> Self {
        Self { text, pair }
    }

    pub(crate) fn rule(&self) -> Rule {
        self.pair.as_rule()
    }

    pub(crate) fn as_str(&self) -> &'a str {
        self.pair.as_str()
    }

    /// Returns the direct children.
    pub(crate) fn children(&self) -> impl Iterator<Item = SyntaxNode<'a>> + use<'a> {
        let text = self.text;
        let inner = self.pair.clone().into_inner();
        inner.map(move |pair| Self::new(text, pair))
    }

    /// Returns the children that match `rule`.
    pub(crate) fn children_of(&self, rule: Rule) -> impl Iterator<Item = SyntaxNode<'a>> + use<'a> {
        self.children().filter(move |child| child.rule() == rule)
    }

    /// Returns the first child that matches `rule`.
    pub(crate) fn child(&self, rule: Rule) -> Option<SyntaxNode<'a>> {
        self.children_of(rule).next()
    }

    /// Returns the first child that matches `rule`, which the grammar requires.
    pub(crate) fn required_child(&self, rule: Rule) -> Result<SyntaxNode<'a>, ParseError> {
        self.child(rule)
            .ok_or_else(|| self.error(format!("{rule:?} is missing"), &[]))
    }

    /// Returns the child that matches `rule`, if there is one; a second one is an error.
    pub(crate) fn at_most_one(&self, rule: Rule) -> Result<Option<SyntaxNode<'a>>, ParseError> {
        let mut matching = self.children_of(rule);
        let first = matching.next();
        match matching.next() {
            Some(again) => {
                let word = again.as_str().split_whitespace().next().unwrap_or_default();
                Err(again.error(format!("'{word}' is given twice"), &[]))
            }
            None => Ok(first),
        }
    }

    /// Parses the node's text; an error names `expected` as what could stand in its place.
    pub(crate) fn parse_value<T>(&self, expected: &str) -> Result<T, ParseError>
    where
        T: FromStr<Err: Display>,
    {
        self.as_str()
            .parse()
            .map_err(|error: T::Err| self.error(error.to_string(), &[expected]))
    }

    /// Parses the child that matches `number`.
    pub(crate) fn parse_number(&self) -> Result<u64, ParseError> {
        let number = self.required_child(Rule::number)?;
        number.as_str().parse().map_err(|_| {
            let problem = format!("'{}' is too large", number.as_str());
            number.error(problem, &["a number up to 18446744073709551615"])
        })
    }

    /// Returns the text of a word, or of a quoted text without its quotation marks and escapes.
    pub(crate) fn unquoted(&self) -> String {
        match self.child(Rule::quoted).and_then(|q| q.child(Rule::inner)) {
            Some(inner) => unescape(inner.as_str()),
            None => self.as_str().to_owned(),
        }
    }

    /// Returns an error that points at the node's first word.
    pub(crate) fn error(&self, problem: String, expected: &[&str]) -> ParseError {
        let expected = expected.iter().map(|&word| word.to_owned()).collect();
        let offset = self.pair.as_span().start();
        ParseError::at(self.text, offset, expected).with_problem(problem)
    }
}
