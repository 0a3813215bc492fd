use std::fmt::Display;
use std::str::FromStr;

use pest::iterators::Pair;

use crate::ParseError;
use crate::grammar::Rule;
use crate::quote::unescape;

/// Tokens under one rule of the grammar, with the whole text for errors.
#[derive(Clone)]
pub(crate) struct Tokens<'a> {
    text: &'a str,
    pair: Pair<'a, Rule>,
}

impl<'a> Tokens<'a> {
    pub(crate) fn new(text: &'a str, pair: Pair<'a, Rule>) -> Self {
        Self { text, pair }
    }

    pub(crate) fn rule(&self) -> Rule {
        self.pair.as_rule()
    }

    pub(crate) fn as_str(&self) -> &'a str {
        self.pair.as_str()
    }

    /// Returns the tokens one level below.
    pub(crate) fn children(&self) -> impl Iterator<Item = Tokens<'a>> + use<'a> {
        let text = self.text;
        let inner = self.pair.clone().into_inner();
        inner.map(move |pair| Self::new(text, pair))
    }

    /// Returns the children of one rule.
    pub(crate) fn all(&self, rule: Rule) -> impl Iterator<Item = Tokens<'a>> + use<'a> {
        self.children().filter(move |child| child.rule() == rule)
    }

    /// Returns the first child of a rule.
    pub(crate) fn find(&self, rule: Rule) -> Option<Tokens<'a>> {
        self.all(rule).next()
    }

    /// Returns the first child of a rule that the grammar always has.
    pub(crate) fn get(&self, rule: Rule) -> Result<Tokens<'a>, ParseError> {
        self.find(rule)
            .ok_or_else(|| self.error(format!("{rule:?} is missing"), &[]))
    }

    /// Returns the only child of a rule, or `None` when there is none.
    pub(crate) fn at_most_one(&self, rule: Rule) -> Result<Option<Tokens<'a>>, ParseError> {
        let mut found = self.all(rule);
        let first = found.next();
        match found.next() {
            Some(again) => {
                let word = again.as_str().split_whitespace().next().unwrap_or_default();
                Err(again.error(format!("'{word}' is given twice"), &[]))
            }
            None => Ok(first),
        }
    }

    /// Returns the value that the token's text stands for.
    pub(crate) fn value<T>(&self, expected: &str) -> Result<T, ParseError>
    where
        T: FromStr<Err: Display>,
    {
        self.as_str()
            .parse()
            .map_err(|error: T::Err| self.error(error.to_string(), &[expected]))
    }

    /// Returns the number below this token.
    pub(crate) fn number(&self) -> Result<u64, ParseError> {
        let number = self.get(Rule::number)?;
        number.as_str().parse().map_err(|_| {
            let problem = format!("'{}' is too large", number.as_str());
            number.error(problem, &["a number up to 18446744073709551615"])
        })
    }

    /// Returns the text of a word or quoted text below this token.
    pub(crate) fn unquoted(&self) -> String {
        match self.find(Rule::quoted).and_then(|q| q.find(Rule::inner)) {
            Some(inner) => unescape(inner.as_str()),
            None => self.as_str().to_owned(),
        }
    }

    /// Returns an error that points at the token.
    pub(crate) fn error(&self, problem: String, expected: &[&str]) -> ParseError {
        let expected = expected.iter().map(|&word| word.to_owned()).collect();
        let offset = self.pair.as_span().start();
        ParseError::at(self.text, offset, expected).with_problem(problem)
    }
}
