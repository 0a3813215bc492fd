use std::net::IpAddr;

use ipnet::IpNet;
use laburnumdeal_model::{Change, Target, Version, WHOLE_PERMILLE};

use crate::grammar::Rule;
use crate::syntax_node::SyntaxNode;
use crate::{ByteRate, DurationMs, ParseError, Share, UtcTime};

/// Default share of a zone's or region's traffic that a drain moves in one step.
const DEFAULT_STEP_PERMILLE: u16 = 100;

/// Default time between two steps of a drain.
const DEFAULT_STEP_INTERVAL_MS: u64 = 10_000;

pub(crate) fn parse_change(change: &SyntaxNode<'_>, now_ms: u64) -> Result<Change, ParseError> {
    match change.rule() {
        Rule::drain => parse_drain(change, now_ms),
        Rule::undrain => Ok(Change::Undrain {
            target: parse_target(change)?,
        }),
        Rule::cap => parse_cap(change),
        Rule::allow => Ok(Change::Allow {
            service: child_text(change, Rule::service)?,
            upstreams: child_names(change),
        }),
        Rule::steer => Ok(Change::Steer {
            blocks: change
                .children_of(Rule::block)
                .map(|block| parse_block(&block))
                .collect::<Result<_, _>>()?,
            zones: child_names(change),
        }),
        Rule::unsteer => Ok(Change::Unsteer {
            block: parse_block(&change.required_child(Rule::block)?)?,
        }),
        Rule::revert => Ok(Change::Revert {
            to: Version(change.parse_number()?),
        }),
        other => Err(change.error(format!("{other:?} is no change"), &[])),
    }
}

fn parse_drain(drain: &SyntaxNode<'_>, now_ms: u64) -> Result<Change, ParseError> {
    let target = parse_target(drain)?;
    let start = drain.at_most_one(Rule::start)?;
    let length = drain.at_most_one(Rule::length)?;
    let pace = drain.at_most_one(Rule::pace)?;
    let (step_permille, every_ms) = match pace {
        Some(pace) => parse_pace(&pace)?,
        None => default_pace(&target),
    };
    Ok(Change::Drain {
        target,
        at_ms: start.map_or(Ok(now_ms), |start| parse_start_ms(&start, now_ms))?,
        for_ms: length.map_or(Ok(0), |length| parse_duration_ms(&length))?,
        step_permille,
        every_ms,
    })
}

fn parse_pace(pace: &SyntaxNode<'_>) -> Result<(u16, u64), ParseError> {
    let Share(step) = pace
        .required_child(Rule::share)?
        .parse_value("a share such as 10%")?;
    let has_interval = pace.child(Rule::duration).is_some();
    let every_ms = match has_interval {
        true => parse_duration_ms(pace)?,
        false if step == WHOLE_PERMILLE => 0,
        false => DEFAULT_STEP_INTERVAL_MS,
    };
    Ok((step, every_ms))
}

/// Returns the default size of a step and the interval between steps: an upstream is drained in
/// one step, a zone or region gradually.
fn default_pace(target: &Target) -> (u16, u64) {
    match target {
        Target::Upstream(_) => (WHOLE_PERMILLE, 0),
        Target::Zone(_) | Target::Region(_) => (DEFAULT_STEP_PERMILLE, DEFAULT_STEP_INTERVAL_MS),
    }
}

fn parse_start_ms(start: &SyntaxNode<'_>, now_ms: u64) -> Result<u64, ParseError> {
    let time = start.child(Rule::time);
    let time = time.as_ref().unwrap_or(start);
    if let Some(delay) = time.child(Rule::delay) {
        let at_ms = now_ms.checked_add(parse_duration_ms(&delay)?);
        return at_ms.ok_or_else(|| delay.error("the time is too far away".to_owned(), &[]));
    }
    if let Some(timestamp) = time.child(Rule::timestamp) {
        let UtcTime(at_ms) = timestamp.parse_value("a time such as 2026-12-03T22:00Z")?;
        return Ok(at_ms);
    }
    match time.child(Rule::epoch_ms) {
        Some(epoch) => epoch.parse_value("milliseconds since the Unix epoch"),
        None => Ok(now_ms),
    }
}

fn parse_duration_ms(parent: &SyntaxNode<'_>) -> Result<u64, ParseError> {
    let DurationMs(duration_ms) = parent
        .required_child(Rule::duration)?
        .parse_value("a duration such as 10m")?;
    Ok(duration_ms)
}

fn parse_target(parent: &SyntaxNode<'_>) -> Result<Target, ParseError> {
    let target = parent.required_child(Rule::target)?;
    let name = child_text(&target, Rule::name)?;
    match target.required_child(Rule::target_kind)?.as_str() {
        "upstream" => Ok(Target::Upstream(name)),
        "zone" => Ok(Target::Zone(name)),
        _ => Ok(Target::Region(name)),
    }
}

fn parse_cap(cap: &SyntaxNode<'_>) -> Result<Change, ParseError> {
    if let Some(shift) = cap.child(Rule::cap_shift) {
        return Ok(Change::CapShift {
            service: child_text(&shift, Rule::service)?,
            requests_per_s: shift.parse_number()?,
        });
    }
    if let Some(region) = cap.child(Rule::cap_region) {
        return Ok(Change::CapRegion {
            region: child_text(&region, Rule::name)?,
            requests_per_s: region.parse_number()?,
        });
    }
    parse_cap_link(&cap.required_child(Rule::cap_link)?)
}

fn parse_cap_link(link: &SyntaxNode<'_>) -> Result<Change, ParseError> {
    let count = link.required_child(Rule::number)?;
    let unit = link.required_child(Rule::byte_unit)?;
    let rate = ByteRate::from_units(link.parse_number()?, unit.as_str());
    let ByteRate(bytes_per_s) = rate.ok_or_else(|| {
        let problem = format!("'{}' {} is too large", count.as_str(), unit.as_str());
        count.error(problem, &[])
    })?;
    let mut regions = child_names(link).into_iter();
    Ok(Change::CapLink {
        from: regions.next().unwrap_or_default(),
        to: regions.next().unwrap_or_default(),
        bytes_per_s,
    })
}

fn parse_block(block: &SyntaxNode<'_>) -> Result<IpNet, ParseError> {
    let text = block.as_str();
    let expected = "a block of addresses such as 10.1.0.0/16";
    let address = text.parse::<IpAddr>().map(IpNet::from).ok();
    let net: IpNet = address
        .or_else(|| text.parse().ok())
        .ok_or_else(|| block.error(format!("'{text}' is no block of addresses"), &[expected]))?;
    if net.trunc() != net {
        let problem = format!("block '{text}' has bits beyond its prefix");
        return Err(block.error(problem, &[&format!("'{}'", net.trunc())]));
    }
    Ok(net)
}

fn child_names(parent: &SyntaxNode<'_>) -> Vec<String> {
    let names = parent.children_of(Rule::name);
    names.map(|name| name.as_str().to_owned()).collect()
}

fn child_text(parent: &SyntaxNode<'_>, rule: Rule) -> Result<String, ParseError> {
    Ok(parent.required_child(rule)?.as_str().to_owned())
}
