use laburnumdeal_model::{BootId, InstanceId, ZoneId};
use laburnumdeal_policy::{
    BeginReply, Claim, ClaimSettings, ClaimTable, ClaimToken, FenceReply, MirrorReply, Outcome,
    RequestKey, StoredAnswer, TokenSealer, TokenlessHistory,
};

pub const HOME: InstanceId = InstanceId(1);
pub const MIRROR: InstanceId = InstanceId(2);
pub const OTHER: InstanceId = InstanceId(3);
pub const BOOT: BootId = BootId(10);
pub const FINGERPRINT: u64 = 5;
pub const HORIZON_MS: u64 = 1_000;

pub fn sealer() -> TokenSealer {
    TokenSealer::new(b"secret of the test cluster")
}

pub fn settings(me: InstanceId, boot: BootId) -> ClaimSettings {
    ClaimSettings {
        resend_horizon_ms: HORIZON_MS,
        members: vec![(HOME, ZoneId(0)), (MIRROR, ZoneId(1))],
        ..ClaimSettings::new(me, boot)
    }
}

pub fn table(me: InstanceId, boot: BootId) -> ClaimTable {
    ClaimTable::new(settings(me, boot))
}

/// Returns a table of the home with the given limit on records.
pub fn small_table(record_limit: usize) -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        record_limit,
        ..settings(HOME, BOOT)
    })
}

/// Returns a table that can claim tokenless keys from the start.
pub fn table_with_complete_history(me: InstanceId, boot: BootId) -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        tokenless_history: TokenlessHistory::Complete,
        ..settings(me, boot)
    })
}

pub fn token(issued_ms: u64) -> ClaimToken {
    ClaimToken {
        home: HOME,
        home_boot: BOOT,
        mirror: Some((MIRROR, BOOT)),
        issued_ms,
    }
}

pub fn key_of(token: &ClaimToken, nonce: &str) -> RequestKey {
    let text = format!("{}.{nonce}", sealer().seal(token));
    RequestKey::parse(&text, &sealer()).unwrap()
}

pub fn key(nonce: &str) -> RequestKey {
    key_of(&token(1), nonce)
}

pub fn tokenless_key(nonce: &str) -> RequestKey {
    RequestKey::parse(nonce, &sealer()).unwrap()
}

pub fn answer(body: &str) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
    }
}

pub fn claim(home: &ClaimTable, key: &RequestKey) -> Claim {
    match home.begin(key, FINGERPRINT) {
        BeginReply::Claimed(claim) => claim,
        other => panic!("{other:?}"),
    }
}

pub fn mirror_claim(mirror: &ClaimTable, key: &RequestKey) -> MirrorReply {
    mirror.mirror_claim(key, FINGERPRINT, HOME, BOOT)
}

/// Claims a key on home and mirror and finishes its request with an answer.
pub fn run(home: &ClaimTable, mirror: &ClaimTable, key: &RequestKey, body: &str) {
    let mut claim = claim(home, key);
    claim.confirm_mirror(mirror_claim(mirror, key)).unwrap();
    claim.start().unwrap().finish(answer(body));
}

pub fn fence(table: &ClaimTable, key: &RequestKey) -> Outcome {
    table.fence(key, FINGERPRINT).outcome().unwrap()
}

/// Returns the outcome reported to a resend, or `None` while the request is in flight.
pub fn resend(home: &ClaimTable, key: &RequestKey) -> Option<Outcome> {
    match home.begin(key, FINGERPRINT) {
        BeginReply::Finished(_) => Some(Outcome::Answer),
        BeginReply::Fenced => Some(Outcome::NotRun),
        BeginReply::AlreadyRan | BeginReply::Unknown(_) => Some(Outcome::Unknown),
        BeginReply::Running(running) => running.result().map(|result| result.outcome()),
        other => panic!("{other:?}"),
    }
}

pub fn is_fenced(reply: &FenceReply) -> bool {
    matches!(reply, FenceReply::Fenced)
}
