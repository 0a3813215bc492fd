//! Messages between instances, as the builds before this one send and expect them. A build runs beside
//! the one that it replaces, so these bytes are kept for good: a message that differs is a new one.

use std::net::SocketAddr;

use laburnumdeal_control::{ControlReply, ControlRequest};
use laburnumdeal_daemon::roles::{
    Announcement, Call, ConfigurationUpdate, ControlRecord, CrashPosition, CustomerReply,
    CustomerRequest, FollowReply, FollowRequest, ListUpdate, Presence, PresenceState, Reply,
    ReportRequest, SpeedRequest,
};
use laburnumdeal_daemon::{pack, unpack};
use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{QuotaGrant, QuotaLimit, QuotaReport, ReportHeader};
use laburnumdeal_policy::steer::{
    CrashReport, InstanceRecord, SharedLimit, SharedLoad, SharedObject, SharedReport, SharedSpeed,
    UpstreamRecord,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Messages of the build e446ecc: name and bytes as hexadecimal digits.
const FIXTURES: &str = include_str!("fixtures/messages-e446ecc.txt");

/// Longest message that is read.
const MAX_BYTES: usize = 1024 * 1024;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn crash_report() -> CrashReport {
    CrashReport {
        fingerprint: 0x0102_0304_0506_0708,
        upstream: 9,
        age_ms: 1_500,
        unused_ms: 20,
        is_completed: true,
    }
}

fn shared_report() -> SharedReport {
    SharedReport {
        limits: vec![SharedLimit {
            upstream: 1,
            per_s: Some(2.5),
            age_ms: 3,
        }],
        loads: vec![SharedLoad {
            upstream: 4,
            requests: 5,
            age_ms: 6,
        }],
        objects: vec![SharedObject {
            upstream: 7,
            object: 8,
        }],
    }
}

fn follow_request() -> FollowRequest {
    FollowRequest {
        version: Some(Version(7)),
        list_hash: 1,
        list_age_ms: Some(2),
        roster_hash: 3,
        contents: true,
        crash_position: CrashPosition {
            start: 4,
            revision: 5,
        },
        crashes: vec![crash_report()],
        wait_ms: 900,
    }
}

fn follow_reply() -> FollowReply {
    FollowReply {
        is_led: true,
        version: Version(7),
        configuration: ConfigurationUpdate::Same,
        list_age_ms: Some(1),
        list_hash: 2,
        list: ListUpdate::Whole(vec![UpstreamRecord {
            id: "i-1".into(),
            service: "s-1".into(),
            address: address("10.0.0.1:8080"),
            zone: "mtl-a".into(),
            slots: 6,
            leaving: true,
            cold_ms: 1_000,
        }]),
        roster: Some((
            3,
            vec![InstanceRecord {
                name: "e-1".into(),
                region: "mtl".into(),
                address: "10.0.0.2".parse().ok(),
            }],
        )),
        controls: vec![ControlRecord {
            address: "10.0.0.3:7000".into(),
            region: "mtl".into(),
        }],
        crash_position: CrashPosition {
            start: 4,
            revision: 5,
        },
        crashes: vec![crash_report()],
    }
}

fn presence() -> Presence {
    Presence {
        instance: "e-1".into(),
        caller_address: address("10.0.0.2:8000"),
        zone: "mtl-a".into(),
        region: "mtl".into(),
        state: PresenceState::Leaving,
        boot_ms: 1,
        sequence: 2,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn fixture(name: &str) -> Vec<u8> {
    let mut lines = FIXTURES.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(known, _)| *known == name);
    let digits = found.map_or("", |(_, digits)| digits);
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).expect("hexadecimal digits");
        u8::from_str_radix(text, 16).expect("hexadecimal digits")
    };
    pairs.map(byte).collect()
}

/// Checks that a message has the recorded bytes, and that these are read as the message.
fn assert_kept<T: Serialize + DeserializeOwned>(name: &str, message: &T) {
    let bytes = pack(message).unwrap();
    assert_eq!(
        hex(&bytes),
        hex(&fixture(name)),
        "{name} is another message"
    );
    let read: T = unpack(&fixture(name), MAX_BYTES).unwrap();
    assert_eq!(pack(&read).unwrap(), bytes, "{name} is read otherwise");
}

#[test]
fn call_has_the_recorded_bytes() {
    let control = Call::Control {
        from: "10.0.0.3:7000".into(),
        request: ControlRequest::ReadIndex,
    };
    assert_kept("call-control", &control);
    assert_kept("call-follow", &Call::Follow(follow_request()));
    let report = ReportRequest {
        report: shared_report(),
        window_ms: 1_000,
    };
    assert_kept("call-report", &Call::Report(report));
    let crashes = Call::Crashes {
        reports: vec![crash_report()],
        is_relayed: true,
    };
    assert_kept("call-crashes", &crashes);
    assert_kept("call-probe", &Call::Probe(address("10.0.0.1:8080")));
}

#[test]
fn reply_has_the_recorded_bytes() {
    let control = Reply::Control(ControlReply::ReadIndex(Some(3)));
    assert_kept("reply-control", &control);
    assert_kept("reply-follow", &Reply::Follow(Box::new(follow_reply())));
    assert_kept("reply-report", &Reply::Report(shared_report()));
    assert_kept("reply-crashes", &Reply::Crashes);
    assert_kept("reply-probe", &Reply::Probe(Some(true)));
}

/// Kinds of messages that the build e446ecc reads.
#[derive(Debug, Deserialize)]
enum EarlierCall {
    Probe(SocketAddr),
}

fn customer_request() -> CustomerRequest {
    let limit = QuotaLimit {
        milli_per_s: 8_000,
        burst: 9,
    };
    CustomerRequest {
        header: ReportHeader {
            instance: "e-1".into(),
            start: 1,
            uptime_ms: 2,
            sequence: 3,
            bank: Term(4),
            version: Version(5),
        },
        reports: vec![QuotaReport {
            customer: "ama".into(),
            limit,
            share: 6,
            held: 7,
            wanted: 8,
        }],
        is_relayed: false,
    }
}

// Guards against: a message on customers that a build beside this one reads otherwise.
#[test]
fn customers_messages_have_the_recorded_bytes() {
    let call = pack(&Call::Customers(customer_request())).unwrap();
    let header = "96a3652d310102030405";
    let report = "95a3616d6192cd1f4009060708";
    let recorded = format!("0081a9437573746f6d65727393{header}91{report}c2");
    assert_eq!(hex(&call), recorded);
    let reply = CustomerReply {
        term: Term(4),
        version: Version(5),
        is_settled: true,
        grants: vec![QuotaGrant {
            customer: "ama".into(),
            share: 6,
        }],
    };
    let reply = pack(&Reply::Customers(Some(reply))).unwrap();
    assert_eq!(
        hex(&reply),
        "0081a9437573746f6d657273940405c39192a3616d6106"
    );
}

// Guards against: a build that does not know customers takes their message for another.
#[test]
fn customers_message_is_refused_by_a_build_without_them() {
    let call = pack(&Call::Customers(customer_request())).unwrap();
    assert!(unpack::<EarlierCall>(&call, MAX_BYTES).is_err());
    let probe = pack(&Call::Probe(address("10.0.0.1:8080"))).unwrap();
    let EarlierCall::Probe(read) = unpack(&probe, MAX_BYTES).unwrap();
    assert_eq!(read, address("10.0.0.1:8080"));
}

fn speed_request(upstreams: u64) -> SpeedRequest {
    let speed = |number: u64| SharedSpeed {
        // The numbers are spread over all bits, as hashes are.
        upstream: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        answers: number as u32 % 8 + 1,
        percent: 100 + number as u32 * 7 % 90,
        age_ms: number as u32 * 37 % 1_000,
    };
    SpeedRequest {
        speeds: (1..=upstreams).map(speed).collect(),
        window_ms: 1_000,
    }
}

// Guards against: a message on speeds that a build beside this one reads otherwise.
#[test]
fn speeds_messages_have_the_recorded_bytes() {
    let request = speed_request(1);
    let speed = "94cf9e3779b97f4a7c15026b25";
    let call = pack(&Call::Speeds(request.clone())).unwrap();
    assert_eq!(hex(&call), format!("0081a65370656564739291{speed}cd03e8"));
    let reply = pack(&Reply::Speeds(request.speeds)).unwrap();
    assert_eq!(hex(&reply), format!("0081a653706565647391{speed}"));
}

// Guards against: a build that does not know speeds takes their message for another.
#[test]
fn speeds_message_is_refused_by_a_build_without_them() {
    let call = pack(&Call::Speeds(speed_request(1))).unwrap();
    assert!(unpack::<EarlierCall>(&call, MAX_BYTES).is_err());
}

/// Links of entry instances carry 2 Mbit/s.
#[test]
fn speeds_message_on_400_upstreams_is_short() {
    let request = speed_request(400);
    let call = pack(&Call::Speeds(request.clone())).unwrap().len();
    let reply = pack(&Reply::Speeds(request.speeds)).unwrap().len();
    println!("call of {call} bytes, reply of {reply} bytes");
    assert!(call.max(reply) <= 6_000, "{call} and {reply} bytes");
}

#[test]
fn presence_has_the_recorded_bytes() {
    let bytes = rmp_serde::to_vec(&presence()).unwrap();
    assert_eq!(hex(&bytes), hex(&fixture("presence")));
    let read: Presence = rmp_serde::from_slice(&fixture("presence")).unwrap();
    assert_eq!(read, presence());
}

/// Older builds read the presence at the beginning of a datagram and pass over the rest.
#[test]
fn announcement_with_a_link_use_is_read_by_older_builds() {
    let mut announcement = Announcement {
        presence: presence(),
        link_use_percent: None,
    };
    assert_eq!(hex(&announcement.encode()), hex(&fixture("presence")));
    announcement.link_use_percent = Some(250);
    let bytes = announcement.encode();
    let read: Presence = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read, presence());
    assert_eq!(Announcement::decode(&bytes).unwrap(), announcement);
}

#[test]
fn crash_file_has_the_recorded_bytes() {
    let bytes = rmp_serde::to_vec(&[crash_report()]).unwrap();
    assert_eq!(hex(&bytes), hex(&fixture("crash-file")));
    let read: Vec<CrashReport> = rmp_serde::from_slice(&fixture("crash-file")).unwrap();
    assert_eq!(read, [crash_report()]);
}

// The way in which messages can grow: builds since e446ecc read fields by name as well as by
// position, and pass over names that they do not know.
#[test]
fn follow_request_with_names_and_an_unknown_field_is_read() {
    let named = rmp_serde::to_vec_named(&follow_request()).unwrap();
    let mut fields: serde_json::Map<String, serde_json::Value> =
        rmp_serde::from_slice(&named).unwrap();
    fields.insert("a_later_field".into(), serde_json::json!([1, "two"]));
    let bytes = rmp_serde::to_vec(&fields).unwrap();
    let read: FollowRequest = rmp_serde::from_slice(&bytes).unwrap();
    let expected = rmp_serde::to_vec(&follow_request()).unwrap();
    assert_eq!(rmp_serde::to_vec(&read).unwrap(), expected);
}

#[test]
fn follow_request_with_a_further_position_is_not_read() {
    let mut bytes = rmp_serde::to_vec(&follow_request()).unwrap();
    // An array of nine in place of eight, with one more number.
    assert_eq!(bytes[0], 0x98);
    bytes[0] = 0x99;
    bytes.push(1);
    assert!(rmp_serde::from_slice::<FollowRequest>(&bytes).is_err());
}
