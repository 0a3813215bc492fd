//! Checks of the settings of the topology.

use std::collections::{HashMap, HashSet};

use crate::{InstanceSettings, NameKind, TopologyError, TopologySettings};

/// Positions of the entries of one kind by their names.
pub(crate) struct NameIndex<'a> {
    kind: NameKind,
    positions: HashMap<&'a str, usize>,
}

impl<'a> NameIndex<'a> {
    pub(crate) fn collect(
        kind: NameKind,
        names: impl Iterator<Item = &'a String>,
        most: usize,
    ) -> Result<Self, TopologyError> {
        let mut positions = HashMap::new();
        for (position, name) in names.enumerate() {
            if !is_valid_name(name) {
                return Err(TopologyError::BadName {
                    kind,
                    name: name.clone(),
                });
            }
            if positions.insert(name.as_str(), position).is_some() {
                return Err(TopologyError::Duplicate {
                    kind,
                    name: name.clone(),
                });
            }
        }
        if positions.len() > most {
            return Err(TopologyError::TooMany {
                kind,
                count: positions.len(),
                most,
            });
        }
        Ok(Self { kind, positions })
    }

    pub(crate) fn find(&self, name: &str, referrer: &str) -> Result<usize, TopologyError> {
        self.positions
            .get(name)
            .copied()
            .ok_or_else(|| TopologyError::Unknown {
                kind: self.kind,
                name: name.to_owned(),
                referrer: referrer.to_owned(),
            })
    }
}

fn is_valid_name(name: &str) -> bool {
    name.starts_with(|c: char| c.is_ascii_alphabetic())
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'))
}

pub(crate) fn check_addresses(settings: &TopologySettings) -> Result<(), TopologyError> {
    let instance_addresses = settings
        .instances
        .iter()
        .flat_map(|i| [i.caller_address, i.peer_address, i.operator_address]);
    let upstream_addresses = settings.upstreams.iter().map(|u| u.address);
    let mut seen = HashSet::new();
    match instance_addresses
        .chain(upstream_addresses)
        .find(|address| !seen.insert(*address))
    {
        Some(address) => Err(TopologyError::DuplicateAddress { address }),
        None => Ok(()),
    }
}

pub(crate) fn check_numbers(settings: &TopologySettings) -> Result<(), TopologyError> {
    let regions = settings
        .regions
        .iter()
        .map(|r| ("intake_per_s", &r.name, r.intake_per_s));
    let slots = settings
        .upstreams
        .iter()
        .map(|u| ("slots", &u.name, u64::from(u.slots)));
    let connections = settings
        .upstreams
        .iter()
        .map(|u| ("connections", &u.name, u64::from(u.connections)));
    let deadlines = settings
        .services
        .iter()
        .map(|s| ("deadline_ms", &s.name, s.deadline_ms));
    let links = settings
        .links
        .iter()
        .map(|l| ("bytes_per_s", &l.from, l.bytes_per_s));
    let mut numbers = regions
        .chain(slots)
        .chain(connections)
        .chain(deadlines)
        .chain(links);
    match numbers.find(|(_, _, value)| *value == 0) {
        Some((field, name, _)) => Err(TopologyError::Zero {
            field,
            name: name.clone(),
        }),
        None => Ok(()),
    }
}

pub(crate) fn check_control(instances: &[InstanceSettings]) -> Result<(), TopologyError> {
    let count = instances.iter().filter(|i| i.control).count();
    if matches!(count, 1 | 3 | 5 | 7) {
        Ok(())
    } else {
        Err(TopologyError::ControlCount { count })
    }
}

pub(crate) fn check_links(settings: &TopologySettings) -> Result<(), TopologyError> {
    let mut seen = HashSet::new();
    let mut links = settings.links.iter();
    let invalid = links.find(|link| link.from == link.to || !seen.insert((&link.from, &link.to)));
    match invalid {
        Some(link) => Err(TopologyError::BadLink {
            from: link.from.clone(),
            to: link.to.clone(),
        }),
        None => Ok(()),
    }
}
