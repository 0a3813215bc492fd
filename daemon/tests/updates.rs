//! Updates for entry instances when routes or upstreams change: they must fit the narrow link of an
//! entry instance, and applying them must give the state of the control instances.

use std::sync::Arc;

use laburnumdeal_control::replay;
use laburnumdeal_daemon::roles::{ConfigurationUpdate, ListChanges, UpstreamList};
use laburnumdeal_daemon::{pack, unpack};
use laburnumdeal_model::{
    AuditRecord, Change, CommandId, Configuration, Digest, Item, ItemKey, ItemValue, NamedItem,
    RouteItem, Verdict, Version,
};
use laburnumdeal_policy::steer::UpstreamRecord;
use tokio::time::Instant;

/// Bandwidth of an entry instance's link in large deployments, in bytes per second.
const LINK_BYTES_PER_S: usize = 2_000_000 / 8;

/// A change must take effect within 2.5 s. Half of the link for half a second leaves room for
/// requests and for the steps before and after the transfer.
const MANY_ROUTES_BYTES: usize = LINK_BYTES_PER_S / 4;

/// The list may change with each read, twice a second; this limit is a twentieth of the link.
const ONE_UPSTREAM_BYTES: usize = LINK_BYTES_PER_S / 40;

/// Changes that an instance misses while it stands still, and the routes that each of them sets.
const MISSED_CHANGES: u64 = 116;
const MISSED_ROUTES: usize = 350;

/// Longest message between instances.
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

fn route(number: usize) -> NamedItem {
    let host = format!("h{number:05}.example");
    let route = RouteItem {
        host: host.clone(),
        path_prefix: format!("/p{number:05}/"),
        idempotent: true,
        timeout_ms: 2_500,
        target_latency_ms: 800,
        max_attempts: 2,
        priority: 1,
        services: vec![("svc00001".to_owned(), 900), ("svc00002".to_owned(), 100)],
        regions: Vec::new(),
        affinity: true,
        is_public: false,
    };
    // As long as the text of one route in practice.
    let original = format!(
        "{{\"host\":\"{host}\",{}}}",
        "\"field\":\"value\",".repeat(18)
    );
    NamedItem {
        key: ItemKey::Route(format!("r-{number:06}")),
        item: Item {
            version: 7,
            value: Some(ItemValue::Route(route)),
            original,
        },
    }
}

/// Returns a route with a name of 800 characters.
fn long_route(number: usize) -> NamedItem {
    let mut named = route(number);
    named.key = ItemKey::Route(format!("r-{number:0798}"));
    named
}

fn applied(change: Change, version: u64) -> AuditRecord {
    let id = format!("{version:032x}");
    let command_id: CommandId = id.parse().expect("hexadecimal digits are a command id");
    AuditRecord {
        index: version,
        command_id,
        operator: "platform".to_owned(),
        at_ms: 0,
        base: None,
        change,
        verdict: Verdict::Accepted {
            version: Version(version),
        },
        chain: Digest::default(),
    }
}

fn apply_all(base: &Configuration, changes: &[AuditRecord]) -> Configuration {
    let mut next = base.clone();
    for applied in changes {
        let version = next.version.next();
        replay(&mut next, &applied.change, applied.at_ms, version);
    }
    next
}

fn packed_length(message: &impl serde::Serialize) -> usize {
    pack(message).expect("plain data encodes").len()
}

fn many_routes() -> (Configuration, Vec<AuditRecord>, Configuration) {
    let first = Change::Items {
        items: vec![route(0)],
    };
    let base = apply_all(&Configuration::default(), &[applied(first, 1)]);
    let items = (1..=1_000).map(route).collect();
    let changes = vec![applied(Change::Items { items }, 2)];
    let newest = apply_all(&base, &changes);
    (base, changes, newest)
}

#[test]
fn since_fits_a_thousand_routes_into_a_narrow_link() {
    let (base, changes, newest) = many_routes();
    let update = ConfigurationUpdate::since(base.version, &newest, |_| Some(changes));
    let packed = pack(&update).expect("plain data encodes").len();
    assert!(packed <= MANY_ROUTES_BYTES, "{packed} bytes");
    let whole = ConfigurationUpdate::since(Version(0), &newest, |_| None);
    let packed = pack(&whole).expect("plain data encodes").len();
    assert!(packed <= MANY_ROUTES_BYTES, "{packed} bytes for the whole");
}

// Guards against CONFIG: the changes that an instance has missed are too long to be read, so that it
// never gets a configuration again.
#[test]
fn since_many_changes_of_the_same_routes_is_as_short_as_the_whole() {
    let items: Vec<NamedItem> = (0..MISSED_ROUTES).map(long_route).collect();
    let base = apply_all(
        &Configuration::default(),
        &[applied(
            Change::Items {
                items: items.clone(),
            },
            1,
        )],
    );
    let changes: Vec<AuditRecord> = (2..2 + MISSED_CHANGES)
        .map(|version| {
            let mut items = items.clone();
            items
                .iter_mut()
                .for_each(|named| named.item.version += version);
            applied(Change::Items { items }, version)
        })
        .collect();
    let newest = apply_all(&base, &changes);
    let update = ConfigurationUpdate::since(base.version, &newest, |_| Some(changes));
    let packed = pack(&update).expect("plain data encodes");
    let read: ConfigurationUpdate = unpack(&packed, MAX_REPLY_BYTES).expect("it is short enough");
    let whole = ConfigurationUpdate::since(Version(0), &newest, |_| None);
    assert!(
        packed.len() <= packed_length(&whole),
        "{} bytes",
        packed.len()
    );
    let next = read.apply_to(Some(&base)).expect("it is newer");
    assert_eq!(next.version, newest.version);
    assert!(next.items.routes().eq(newest.items.routes()));
}

#[test]
fn since_few_changes_of_many_routes_sends_the_changes() {
    let items = (0..MISSED_ROUTES).map(long_route).collect();
    let base = apply_all(
        &Configuration::default(),
        &[applied(Change::Items { items }, 1)],
    );
    let items = (0..MISSED_ROUTES / 2).map(long_route).collect();
    let changes = vec![applied(Change::Items { items }, 2)];
    let newest = apply_all(&base, &changes);
    let update = ConfigurationUpdate::since(base.version, &newest, |_| Some(changes));
    assert!(matches!(update, ConfigurationUpdate::Changes(_)));
}

#[test]
fn apply_to_an_older_version_gives_the_newest_routes() {
    let (base, changes, newest) = many_routes();
    let update = ConfigurationUpdate::since(base.version, &newest, |_| Some(changes));
    let next = update.apply_to(Some(&base)).expect("it is newer");
    assert_eq!(next.version, newest.version);
    assert!(next.items.routes().eq(newest.items.routes()));
}

#[test]
fn apply_to_stops_at_a_gap_in_the_versions() {
    let (base, mut changes, newest) = many_routes();
    let last = applied(
        Change::Items {
            items: vec![route(0)],
        },
        4,
    );
    changes.push(last);
    let update = ConfigurationUpdate::since(base.version, &apply_all(&newest, &changes), |_| {
        Some(changes.clone())
    });
    let next = update.apply_to(Some(&base)).expect("it is newer");
    assert_eq!(next.version, Version(2));
}

fn upstream(number: usize, cold_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{number:010x}"),
        service: "svc00001".to_owned(),
        address: ([10, 128, (number / 250) as u8, (number % 250) as u8], 8_080).into(),
        zone: "cairo-nasr".to_owned(),
        slots: 9,
        leaving: false,
        cold_ms,
    }
}

fn list(records: Vec<UpstreamRecord>) -> UpstreamList {
    UpstreamList::new(records, Instant::now())
}

#[test]
fn between_lists_of_five_hundred_with_few_changes_is_a_short_message() {
    let records: Vec<_> = (0..500).map(|number| upstream(number, 0)).collect();
    let older = list(records.clone());
    let mut newer = records;
    newer[77].leaving = true;
    newer.remove(300);
    newer.push(upstream(900, 3_000));
    let newer = list(newer);
    let changes = ListChanges::between(&older, &newer).expect("identities differ");
    let length = packed_length(&changes);
    assert!(length <= ONE_UPSTREAM_BYTES, "{length} bytes");
    let next = changes.apply_to(&older, Instant::now());
    assert_eq!(next.expect("the base fits").records, newer.records);
}

#[test]
fn apply_to_rejects_another_base_list() {
    let older = list((0..10).map(|number| upstream(number, 0)).collect());
    let newer = list((0..12).map(|number| upstream(number, 0)).collect());
    let other = list((0..11).map(|number| upstream(number, 0)).collect());
    let changes = ListChanges::between(&older, &newer).expect("identities differ");
    assert!(changes.apply_to(&other, Instant::now()).is_none());
}

#[test]
fn between_rejects_records_that_share_an_id() {
    let older = list(vec![upstream(1, 0), upstream(2, 0)]);
    let mut duplicate = upstream(1, 0);
    duplicate.service = "svc00002".to_owned();
    let newer = list(vec![upstream(1, 0), duplicate]);
    assert_eq!(ListChanges::between(&older, &newer), None);
}

#[test]
fn between_ignores_the_remaining_time_of_cold_upstreams() {
    let older = list((0..10).map(|number| upstream(number, 3_000)).collect());
    let newer = list((0..10).map(|number| upstream(number, 2_500)).collect());
    assert_eq!(older.hash, newer.hash);
    let changes = ListChanges::between(&older, &newer).expect("identities differ");
    assert!(packed_length(&changes) < 64, "{changes:?}");
}

#[test]
fn clear_originals_keeps_the_routes() {
    let mut change = Change::Items {
        items: vec![route(1)],
    };
    change.clear_originals();
    let mut configuration = Configuration::default();
    replay(&mut configuration, &change, 0, Version(1));
    let items = Arc::new(configuration.items.without_originals());
    assert_eq!(configuration.items, items);
    assert_eq!(items.routes().count(), 1);
}
