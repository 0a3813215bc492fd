//! Generator of random commands.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::IpNet;
use laburnumdeal_language::{
    Command, CommandLine, CommandOptions, ExplainSubject, Filter, Relation, Show, ShowSubject,
};
use laburnumdeal_model::{Change, Target, Version};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Names, some of which are also keywords.
const NAMES: [&str; 10] = [
    "nasr",
    "catalog-1",
    "at",
    "force",
    "dry-run",
    "to",
    "zone",
    "x",
    "from",
    "a_b",
];

/// Texts that must be quoted or resemble another token.
const TEXTS: [&str; 12] = [
    "",
    "a b",
    "\"",
    "\\",
    "\\\"x",
    "a,b",
    "k=1",
    "!",
    "force",
    "été",
    "10%",
    "\u{a0}\u{2028}",
];

pub fn command_line(rng: &mut ChaCha8Rng) -> CommandLine {
    let command = command(rng);
    let options = match command.is_change() {
        true => CommandOptions {
            force: rng.random(),
            dry_run: rng.random(),
            base: rng.random_bool(0.5).then(|| Version(number(rng))),
        },
        false => CommandOptions::default(),
    };
    CommandLine { command, options }
}

fn command(rng: &mut ChaCha8Rng) -> Command {
    match rng.random_range(0..8) {
        0 => Command::Show(show(rng)),
        1 => Command::Explain(explain(rng)),
        2 => Command::History {
            last: rng.random_bool(0.5).then(|| number(rng)),
            since: rng.random_bool(0.5).then(|| Version(number(rng))),
        },
        3 => Command::AuditVerify,
        4 => Command::AuditRecords {
            from_index: number(rng),
            limit: rng.random_bool(0.5).then(|| number(rng)),
        },
        _ => Command::Change(change(rng)),
    }
}

fn show(rng: &mut ChaCha8Rng) -> Show {
    let filters = (0..rng.random_range(0..3)).map(|_| Filter {
        column: name(rng),
        relation: *[Relation::Equal, Relation::NotEqual].choose(rng).unwrap(),
        value: text(rng),
    });
    Show {
        filters: filters.collect(),
        subject: *ShowSubject::ALL.choose(rng).unwrap(),
    }
}

fn explain(rng: &mut ChaCha8Rng) -> ExplainSubject {
    match rng.random() {
        true => ExplainSubject::Request { id: text(rng) },
        false => ExplainSubject::Caller {
            service: name(rng),
            address: address(rng),
            key: rng.random_bool(0.5).then(|| text(rng)),
        },
    }
}

fn change(rng: &mut ChaCha8Rng) -> Change {
    match rng.random_range(0..9) {
        0 => Change::Allow {
            service: name(rng),
            upstreams: names(rng),
        },
        1 => Change::Drain {
            target: target(rng),
            at_ms: number(rng),
            for_ms: number(rng),
            step_permille: rng.random_range(1..=1000),
            every_ms: number(rng),
        },
        2 => Change::Undrain {
            target: target(rng),
        },
        3 => Change::CapShift {
            service: name(rng),
            requests_per_s: number(rng),
        },
        4 => Change::CapRegion {
            region: name(rng),
            requests_per_s: number(rng),
        },
        5 => Change::CapLink {
            from: name(rng),
            to: name(rng),
            bytes_per_s: number(rng),
        },
        6 => Change::Steer {
            blocks: (0..rng.random_range(1..4)).map(|_| block(rng)).collect(),
            zones: names(rng),
        },
        7 => Change::Unsteer { block: block(rng) },
        _ => Change::Revert {
            to: Version(number(rng)),
        },
    }
}

fn target(rng: &mut ChaCha8Rng) -> Target {
    let kinds = [Target::Upstream, Target::Zone, Target::Region];
    kinds.choose(rng).unwrap()(name(rng))
}

fn block(rng: &mut ChaCha8Rng) -> IpNet {
    let address = address(rng);
    let max_prefix_len = if address.is_ipv4() { 32 } else { 128 };
    let net = IpNet::new(address, rng.random_range(0..=max_prefix_len)).unwrap();
    net.trunc()
}

fn address(rng: &mut ChaCha8Rng) -> IpAddr {
    match rng.random() {
        true => Ipv4Addr::from(rng.random::<u32>()).into(),
        false => Ipv6Addr::from(rng.random::<u128>()).into(),
    }
}

/// Returns a small number, a multiple of 125,000 (1 Mbit in bytes), a current time in milliseconds
/// since the Unix epoch, or an extreme number.
fn number(rng: &mut ChaCha8Rng) -> u64 {
    match rng.random_range(0..4) {
        0 => rng.random_range(0..3),
        1 => rng.random_range(0..100_000) * 125_000,
        2 => rng.random_range(1_700_000_000_000..1_900_000_000_000),
        _ => *[u64::MAX, u64::MAX - 1, rng.random()].choose(rng).unwrap(),
    }
}

fn names(rng: &mut ChaCha8Rng) -> Vec<String> {
    (0..rng.random_range(1..4)).map(|_| name(rng)).collect()
}

fn name(rng: &mut ChaCha8Rng) -> String {
    (*NAMES.choose(rng).unwrap()).to_owned()
}

fn text(rng: &mut ChaCha8Rng) -> String {
    (*TEXTS.choose(rng).unwrap()).to_owned()
}
