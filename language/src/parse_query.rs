use crate::grammar::Rule;
use crate::syntax_node::SyntaxNode;
use crate::{Command, ExplainSubject, Filter, ParseError, Relation, Show, ShowSubject};

pub(crate) fn parse_show(show: &SyntaxNode<'_>) -> Result<Show, ParseError> {
    let word = show.required_child(Rule::show_subject)?;
    let subject = word.as_str().parse().map_err(|error| {
        let error: crate::ShowSubjectError = error;
        let names = ShowSubject::ALL.map(|subject| format!("'{subject}'"));
        let expected: Vec<&str> = names.iter().map(String::as_str).collect();
        word.error(error.to_string(), &expected)
    })?;
    let filters = match show.child(Rule::filters) {
        Some(filters) => filters
            .children_of(Rule::filter)
            .map(|filter| parse_filter(&filter))
            .collect::<Result<_, _>>()?,
        None => Vec::new(),
    };
    Ok(Show { subject, filters })
}

fn parse_filter(filter: &SyntaxNode<'_>) -> Result<Filter, ParseError> {
    let relation = match filter.required_child(Rule::relation)?.as_str() {
        "!=" => Relation::NotEqual,
        _ => Relation::Equal,
    };
    Ok(Filter {
        column: filter.required_child(Rule::column)?.as_str().to_owned(),
        relation,
        value: filter.required_child(Rule::value)?.unquoted(),
    })
}

pub(crate) fn parse_explain(explain: &SyntaxNode<'_>) -> Result<ExplainSubject, ParseError> {
    if let Some(request) = explain.child(Rule::explain_request) {
        let id = request.required_child(Rule::request_id)?.unquoted();
        return Ok(ExplainSubject::Request { id });
    }
    let caller = explain.required_child(Rule::explain_service)?;
    let address = caller.required_child(Rule::address)?;
    Ok(ExplainSubject::Caller {
        service: caller.required_child(Rule::service)?.as_str().to_owned(),
        address: address.as_str().parse().map_err(|_| {
            let problem = format!("'{}' is no address", address.as_str());
            address.error(problem, &["an address such as 10.1.2.3 or 2001:db8::1"])
        })?,
        key: caller.child(Rule::key).map(|key| key.unquoted()),
    })
}

pub(crate) fn parse_history(history: &SyntaxNode<'_>) -> Result<Command, ParseError> {
    let last = history.at_most_one(Rule::last)?;
    let since = history.at_most_one(Rule::since)?;
    Ok(Command::History {
        last: last.map(|last| last.parse_number()).transpose()?,
        since: since.map(|s| s.parse_number()).transpose()?.map(Into::into),
    })
}

pub(crate) fn parse_audit(audit: &SyntaxNode<'_>) -> Result<Command, ParseError> {
    let Some(records) = audit.child(Rule::audit_records) else {
        return Ok(Command::AuditVerify);
    };
    let from = records.at_most_one(Rule::audit_from)?;
    let limit = records.at_most_one(Rule::audit_limit)?;
    Ok(Command::AuditRecords {
        from_index: from
            .map(|from| from.parse_number())
            .transpose()?
            .unwrap_or(0),
        limit: limit.map(|limit| limit.parse_number()).transpose()?,
    })
}
