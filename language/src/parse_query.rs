use crate::grammar::Rule;
use crate::tokens::Tokens;
use crate::{Command, ExplainSubject, Filter, ParseError, Relation, Show, ShowSubject};

pub(crate) fn read_show(show: &Tokens<'_>) -> Result<Show, ParseError> {
    let word = show.get(Rule::show_subject)?;
    let subject = word.as_str().parse().map_err(|error| {
        let error: crate::ShowSubjectError = error;
        let names = ShowSubject::ALL.map(|subject| format!("'{subject}'"));
        let expected: Vec<&str> = names.iter().map(String::as_str).collect();
        word.error(error.to_string(), &expected)
    })?;
    let filters = match show.find(Rule::filters) {
        Some(filters) => filters
            .all(Rule::filter)
            .map(|filter| read_filter(&filter))
            .collect::<Result<_, _>>()?,
        None => Vec::new(),
    };
    Ok(Show { subject, filters })
}

fn read_filter(filter: &Tokens<'_>) -> Result<Filter, ParseError> {
    let relation = match filter.get(Rule::relation)?.as_str() {
        "!=" => Relation::NotEqual,
        _ => Relation::Equal,
    };
    Ok(Filter {
        column: filter.get(Rule::column)?.as_str().to_owned(),
        relation,
        value: filter.get(Rule::value)?.unquoted(),
    })
}

pub(crate) fn read_explain(explain: &Tokens<'_>) -> Result<ExplainSubject, ParseError> {
    if let Some(request) = explain.find(Rule::explain_request) {
        let id = request.get(Rule::request_id)?.unquoted();
        return Ok(ExplainSubject::Request { id });
    }
    let caller = explain.get(Rule::explain_service)?;
    let address = caller.get(Rule::address)?;
    Ok(ExplainSubject::Caller {
        service: caller.get(Rule::service)?.as_str().to_owned(),
        address: address.as_str().parse().map_err(|_| {
            let problem = format!("'{}' is no address", address.as_str());
            address.error(problem, &["an address such as 10.1.2.3 or 2001:db8::1"])
        })?,
        key: caller.find(Rule::key).map(|key| key.unquoted()),
    })
}

pub(crate) fn read_history(history: &Tokens<'_>) -> Result<Command, ParseError> {
    let last = history.at_most_one(Rule::last)?;
    let since = history.at_most_one(Rule::since)?;
    Ok(Command::History {
        last: last.map(|last| last.number()).transpose()?,
        since: since.map(|s| s.number()).transpose()?.map(Into::into),
    })
}

pub(crate) fn read_audit(audit: &Tokens<'_>) -> Result<Command, ParseError> {
    let Some(records) = audit.find(Rule::audit_records) else {
        return Ok(Command::AuditVerify);
    };
    let from = records.at_most_one(Rule::audit_from)?;
    let limit = records.at_most_one(Rule::audit_limit)?;
    Ok(Command::AuditRecords {
        from_index: from.map(|from| from.number()).transpose()?.unwrap_or(0),
        limit: limit.map(|limit| limit.number()).transpose()?,
    })
}
