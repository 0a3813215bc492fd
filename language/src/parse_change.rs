use std::net::IpAddr;

use ipnet::IpNet;
use laburnumdeal_model::{Change, Target, Version, WHOLE_PERMILLE};

use crate::grammar::Rule;
use crate::tokens::Tokens;
use crate::{ByteRate, DurationMs, ParseError, Share, UtcTime};

/// Part of a zone or region that moves in one step when a drain names none.
const DEFAULT_STEP_PERMILLE: u16 = 100;

/// Time between two steps when a drain names none.
const DEFAULT_EVERY_MS: u64 = 10_000;

pub(crate) fn read_change(change: &Tokens<'_>, now_ms: u64) -> Result<Change, ParseError> {
    match change.rule() {
        Rule::drain => read_drain(change, now_ms),
        Rule::undrain => Ok(Change::Undrain {
            target: read_target(change)?,
        }),
        Rule::cap => read_cap(change),
        Rule::allow => Ok(Change::Allow {
            service: text_of(change, Rule::service)?,
            upstreams: names(change),
        }),
        Rule::steer => Ok(Change::Steer {
            blocks: change
                .all(Rule::block)
                .map(|block| read_block(&block))
                .collect::<Result<_, _>>()?,
            zones: names(change),
        }),
        Rule::unsteer => Ok(Change::Unsteer {
            block: read_block(&change.get(Rule::block)?)?,
        }),
        Rule::revert => Ok(Change::Revert {
            to: Version(change.number()?),
        }),
        other => Err(change.error(format!("{other:?} is no change"), &[])),
    }
}

fn read_drain(drain: &Tokens<'_>, now_ms: u64) -> Result<Change, ParseError> {
    let target = read_target(drain)?;
    let start = drain.at_most_one(Rule::start)?;
    let length = drain.at_most_one(Rule::length)?;
    let pace = drain.at_most_one(Rule::pace)?;
    let (step_permille, every_ms) = match pace {
        Some(pace) => read_pace(&pace)?,
        None => default_pace(&target),
    };
    Ok(Change::Drain {
        target,
        at_ms: start.map_or(Ok(now_ms), |start| read_start(&start, now_ms))?,
        for_ms: length.map_or(Ok(0), |length| read_duration(&length))?,
        step_permille,
        every_ms,
    })
}

fn read_pace(pace: &Tokens<'_>) -> Result<(u16, u64), ParseError> {
    let Share(step) = pace.get(Rule::share)?.value("a share such as 10%")?;
    let has_period = pace.find(Rule::duration).is_some();
    let every_ms = match has_period {
        true => read_duration(pace)?,
        false if step == WHOLE_PERMILLE => 0,
        false => DEFAULT_EVERY_MS,
    };
    Ok((step, every_ms))
}

/// Returns all at once for one upstream, and steps for what holds many.
fn default_pace(target: &Target) -> (u16, u64) {
    match target {
        Target::Upstream(_) => (WHOLE_PERMILLE, 0),
        Target::Zone(_) | Target::Region(_) => (DEFAULT_STEP_PERMILLE, DEFAULT_EVERY_MS),
    }
}

fn read_start(start: &Tokens<'_>, now_ms: u64) -> Result<u64, ParseError> {
    let time = start.find(Rule::time);
    let time = time.as_ref().unwrap_or(start);
    if let Some(delay) = time.find(Rule::delay) {
        let at_ms = now_ms.checked_add(read_duration(&delay)?);
        return at_ms.ok_or_else(|| delay.error("the time is too far away".to_owned(), &[]));
    }
    if let Some(timestamp) = time.find(Rule::timestamp) {
        let UtcTime(at_ms) = timestamp.value("a time such as 2026-12-03T22:00Z")?;
        return Ok(at_ms);
    }
    match time.find(Rule::epoch_ms) {
        Some(epoch) => epoch.value("milliseconds since the Unix epoch"),
        None => Ok(now_ms),
    }
}

fn read_duration(parent: &Tokens<'_>) -> Result<u64, ParseError> {
    let DurationMs(length_ms) = parent
        .get(Rule::duration)?
        .value("a duration such as 10m")?;
    Ok(length_ms)
}

fn read_target(parent: &Tokens<'_>) -> Result<Target, ParseError> {
    let target = parent.get(Rule::target)?;
    let name = text_of(&target, Rule::name)?;
    match target.get(Rule::target_kind)?.as_str() {
        "upstream" => Ok(Target::Upstream(name)),
        "zone" => Ok(Target::Zone(name)),
        _ => Ok(Target::Region(name)),
    }
}

fn read_cap(cap: &Tokens<'_>) -> Result<Change, ParseError> {
    if let Some(shift) = cap.find(Rule::cap_shift) {
        return Ok(Change::CapShift {
            service: text_of(&shift, Rule::service)?,
            requests_per_s: shift.number()?,
        });
    }
    if let Some(region) = cap.find(Rule::cap_region) {
        return Ok(Change::CapRegion {
            region: text_of(&region, Rule::name)?,
            requests_per_s: region.number()?,
        });
    }
    read_cap_link(&cap.get(Rule::cap_link)?)
}

fn read_cap_link(link: &Tokens<'_>) -> Result<Change, ParseError> {
    let count = link.get(Rule::number)?;
    let unit = link.get(Rule::byte_unit)?;
    let rate = ByteRate::from_units(link.number()?, unit.as_str());
    let ByteRate(bytes_per_s) = rate.ok_or_else(|| {
        let problem = format!("'{}' {} is too large", count.as_str(), unit.as_str());
        count.error(problem, &[])
    })?;
    let mut ends = names(link).into_iter();
    Ok(Change::CapLink {
        from: ends.next().unwrap_or_default(),
        to: ends.next().unwrap_or_default(),
        bytes_per_s,
    })
}

fn read_block(block: &Tokens<'_>) -> Result<IpNet, ParseError> {
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

fn names(parent: &Tokens<'_>) -> Vec<String> {
    let names = parent.all(Rule::name);
    names.map(|name| name.as_str().to_owned()).collect()
}

fn text_of(parent: &Tokens<'_>, rule: Rule) -> Result<String, ParseError> {
    Ok(parent.get(rule)?.as_str().to_owned())
}
