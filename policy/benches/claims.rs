//! Benchmarks of a claimed request, the memory of a record, and a hand-over.

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};
use laburnumdeal_model::{BootId, InstanceId};
use laburnumdeal_policy::{
    BeginReply, ClaimSettings, ClaimTable, ClaimToken, HandOver, RequestKey, StoredAnswer,
    TokenSealer,
};

const HOME: InstanceId = InstanceId(1);
const MIRROR: InstanceId = InstanceId(2);
const BOOT: BootId = BootId(10);
const SECRET: &[u8] = b"secret of the bench cluster";
const SIZES: [usize; 3] = [10_000, 100_000, 1_000_000];
const TEST_SIZES: [usize; 1] = [1_000];
const PAGE_BYTES: usize = 4_096;

fn table(me: InstanceId, record_limit: usize) -> ClaimTable {
    ClaimTable::new(ClaimSettings {
        record_limit,
        ..ClaimSettings::new(me, BOOT)
    })
}

fn text(sealer: &TokenSealer, n: usize) -> String {
    let token = ClaimToken {
        home: HOME,
        home_boot: BOOT,
        mirror: Some((MIRROR, BOOT)),
        issued_ms: n as u64 / 8,
    };
    format!("{}.{n}", sealer.seal(&token))
}

fn key(sealer: &TokenSealer, n: usize) -> RequestKey {
    RequestKey::parse(&text(sealer, n), sealer).unwrap()
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![7; 64],
    }
}

fn run(home: &ClaimTable, mirror: &ClaimTable, key: &RequestKey) {
    let BeginReply::Claimed(mut claim) = home.begin(key, 5) else {
        panic!("the key is not new");
    };
    let reply = mirror.mirror_claim(key, 5, HOME, BOOT);
    claim.confirm_mirror(reply).unwrap();
    claim.start().unwrap().finish(answer());
}

/// Measures one request through home and mirror, with full tables that evict a record per request.
fn bench_run(c: &mut Criterion, sizes: &[usize]) {
    let sealer = TokenSealer::new(SECRET);
    let mut group = c.benchmark_group("run");
    for size in sizes {
        let (home, mirror) = (table(HOME, *size), table(MIRROR, *size));
        let mut keys = (0..).map(|n| key(&sealer, n));
        for key in keys.by_ref().take(*size) {
            run(&home, &mirror, &key);
        }
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                || keys.next().unwrap(),
                |key| run(&home, &mirror, &key),
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn bench_parse(c: &mut Criterion) {
    let sealer = TokenSealer::new(SECRET);
    let text = text(&sealer, 7);
    c.bench_function("parse", |b| {
        b.iter(|| RequestKey::parse(black_box(&text), &sealer).unwrap());
    });
}

/// Returns a full table with records only, as most records are after their answers were evicted.
fn full_table(size: usize) -> ClaimTable {
    let sealer = TokenSealer::new(SECRET);
    let mirror = table(MIRROR, size);
    for n in 0..size {
        mirror.mirror_claim(&key(&sealer, n), 5, HOME, BOOT);
    }
    mirror
}

fn bench_hand_over(c: &mut Criterion, sizes: &[usize]) {
    let mut group = c.benchmark_group("hand_over");
    group.sample_size(10);
    for &size in sizes {
        let full = full_table(size);
        group.throughput(Throughput::Elements(size as u64));
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            let successor = || table(HOME, size);
            b.iter_batched(
                successor,
                |successor| hand_over(&full, successor),
                BatchSize::LargeInput,
            );
        });
        println!("hand_over/{size}: {} bytes on the wire", wire_bytes(&full));
    }
    group.finish();
}

fn hand_over(from: &ClaimTable, to: ClaimTable) -> ClaimTable {
    for message in from.export() {
        let bytes = rmp_serde::to_vec(&message).unwrap();
        let message: HandOver = rmp_serde::from_slice(&bytes).unwrap();
        to.import(message);
    }
    to
}

fn wire_bytes(table: &ClaimTable) -> usize {
    let messages = table.export();
    messages
        .iter()
        .map(|message| rmp_serde::to_vec(message).unwrap().len())
        .sum()
}

/// Prints the resident memory per record.
fn print_record_bytes(sizes: &[usize]) {
    for size in sizes {
        let before = resident_bytes();
        let full = full_table(*size);
        let bytes = resident_bytes().saturating_sub(before) / size;
        println!("record/{size}: {bytes} bytes of resident memory");
        std::mem::forget(full);
    }
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn main() {
    // Cargo passes `--bench` to benchmarks but not to tests.
    let is_bench = std::env::args().any(|arg| arg == "--bench");
    let sizes = if is_bench { &SIZES[..] } else { &TEST_SIZES };
    let mut criterion = Criterion::default().configure_from_args();
    print_record_bytes(sizes);
    bench_parse(&mut criterion);
    bench_run(&mut criterion, sizes);
    bench_hand_over(&mut criterion, sizes);
    criterion.final_summary();
}
