use laburnumdeal_control::{NotRun, SubmitError};
use laburnumdeal_model::{Change, Digest, InstanceId, Refusal, Verdict, Version};

use crate::cluster::{Cluster, cap_shift, sleep, submission, with_base};

fn refusal(verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::Refused(refusal) => refusal,
        other => panic!("{other}"),
    }
}

#[tokio::test(start_paused = true)]
async fn submit_two_operators_with_equal_base() {
    let cluster = Cluster::started(3, 1).await;
    let mut late = with_base(cap_shift("late", 2), 0);
    late.operator = "amr".into();
    let first = cluster.submit(0, with_base(cap_shift("early", 1), 0)).await;
    assert_eq!(first.version, Version(1));
    let refused = refusal(cluster.submit(1, late.clone()).await.verdict);
    insta::assert_snapshot!(refused, @"based on version 0, but version 1 is in force: cap shift catalog at 1/s by mona");
    let again = cluster.submit(2, late).await;
    assert!(again.repeated);
    assert_eq!(refusal(again.verdict), refused);
}

#[tokio::test(start_paused = true)]
async fn submit_two_operators_at_once() {
    let cluster = Cluster::started(3, 2).await;
    let calls = (0..3).map(|number| {
        let replica = cluster.replica(number).clone();
        let submission = with_base(cap_shift(&format!("c{number}"), number as u64), 0);
        tokio::spawn(async move { replica.submit(submission).await.unwrap() })
    });
    let mut accepted = 0;
    for call in calls.collect::<Vec<_>>() {
        match call.await.unwrap().verdict {
            Verdict::Accepted { .. } => accepted += 1,
            verdict => assert!(matches!(refusal(verdict), Refusal::Superseded { .. })),
        }
    }
    assert_eq!(accepted, 1);
}

#[tokio::test(start_paused = true)]
async fn submit_resend_after_restart_and_snapshot() {
    let mut cluster = Cluster::new(3, 3);
    cluster.entries_per_snapshot = 10;
    cluster.start_all().await;
    cluster.leader().await;
    let first = cluster.submit(0, cap_shift("first", 7)).await;
    for number in 0..30 {
        cluster
            .submit(number % 3, cap_shift(&format!("c{number}"), 1))
            .await;
    }
    for number in 0..3 {
        cluster.crash(number);
    }
    cluster.start_all().await;
    cluster.leader().await;
    assert!(cluster.replica(0).status().snapshot_index >= 10);
    let again = cluster.submit(1, cap_shift("first", 7)).await;
    assert!(again.repeated);
    assert_eq!((again.index, &again.verdict), (first.index, &first.verdict));
    let reused = refusal(cluster.submit(2, cap_shift("first", 8)).await.verdict);
    insta::assert_snapshot!(reused, @"command id first was used for another change: cap shift catalog at 7/s");
    assert_eq!(
        cluster.submit(2, cap_shift("first", 7)).await.verdict,
        again.verdict
    );
}

#[tokio::test(start_paused = true)]
async fn submit_older_than_kept_answers_is_refused() {
    let cluster = Cluster::started(1, 4).await;
    let mut last = None;
    for number in 0..20_010 {
        last = Some(cluster.submit(0, cap_shift(&format!("c{number}"), 1)).await);
    }
    assert_eq!(last.unwrap().version, Version(20_010));
    let old = refusal(cluster.submit(0, cap_shift("c3", 1)).await.verdict);
    assert!(matches!(old, Refusal::CommandTooOld { .. }), "{old}");
    assert!(cluster.submit(0, cap_shift("c15", 1)).await.repeated);
}

#[tokio::test(start_paused = true)]
async fn submit_unknown_name_is_refused_and_recorded() {
    let cluster = Cluster::started(3, 5).await;
    let unknown = submission(
        "u",
        Change::CapShift {
            service: "payroll".into(),
            requests_per_s: 1,
        },
    );
    let refused = refusal(cluster.submit(0, unknown).await.verdict);
    assert!(matches!(refused, Refusal::UnknownName { .. }));
    cluster.wait_for_convergence().await;
    for replica in cluster.running() {
        let records = replica.audit_records(0, 10);
        assert_eq!(records.len(), 1);
        assert_eq!(refusal(records[0].verdict.clone()), refused);
    }
}

#[tokio::test(start_paused = true)]
async fn submit_dry_run_changes_nothing() {
    let cluster = Cluster::started(3, 6).await;
    let mut dry = cap_shift("dry", 1);
    dry.dry_run = true;
    let outcome = cluster.submit(0, dry).await;
    let would = Verdict::WouldAccept {
        version: Version(1),
    };
    assert_eq!(outcome.verdict, would);
    cluster.wait_for_convergence().await;
    assert!(cluster.replica(0).audit_records(0, 10).is_empty());
}

#[tokio::test(start_paused = true)]
async fn submit_revert_restores_contents() {
    let mut cluster = Cluster::new(3, 7);
    cluster.entries_per_snapshot = 5;
    cluster.start_all().await;
    cluster.leader().await;
    let steer = |id: &str, zone: &str| {
        let blocks = vec![
            "10.0.0.0/8".parse().unwrap(),
            "10.1.0.0/16".parse().unwrap(),
        ];
        let zones = vec![zone.to_owned()];
        submission(id, Change::Steer { blocks, zones })
    };
    cluster.submit(0, cap_shift("a", 5)).await;
    cluster.submit(0, steer("b", "nasr")).await;
    let second = cluster.replica(0).read_configuration().await.configuration;
    cluster.submit(0, steer("c", "smouha")).await;
    cluster.submit(0, cap_shift("d", 6)).await;
    let revert = |id: &str, to: u64| submission(id, Change::Revert { to: Version(to) });
    cluster.submit(0, revert("e", 2)).await;
    let third = cluster.submit(0, revert("f", 4)).await;
    assert_eq!(third.version, Version(6));
    cluster.submit(0, revert("g", 5)).await;
    let restored = cluster.replica(0).read_configuration().await.configuration;
    assert_eq!(restored.version, Version(7));
    assert_eq!(restored.shift_caps, second.shift_caps);
    assert_eq!(restored.steering.digest(), second.steering.digest());
    let absent = refusal(cluster.submit(0, revert("h", 99)).await.verdict);
    insta::assert_snapshot!(absent, @"version 99 is not kept; versions 0 to 7 are");
    cluster.wait_for_convergence().await;
    let digests = cluster.running().map(|r| r.watch().borrow().digest());
    let digests: Vec<Digest> = digests.collect();
    assert!(digests.iter().all(|digest| *digest == restored.digest()));
}

#[tokio::test(start_paused = true)]
async fn submit_full_leader_refuses_and_keeps_serving() {
    let cluster = Cluster::started(3, 8).await;
    let leader = cluster.leader().await;
    cluster.submit(leader, cap_shift("a", 1)).await;
    cluster.disks[leader].set_free_bytes(Some(10));
    let refused = cluster
        .replica(leader)
        .submit(cap_shift("b", 2))
        .await
        .unwrap_err();
    let SubmitError::NotRun(NotRun::Refused(Refusal::StorageFull { .. })) = refused else {
        panic!("{refused}");
    };
    // Another replica becomes leader; the full one keeps following it and serving reads.
    let other = cluster.next_leader(leader).await;
    let changed = cluster.submit(other, cap_shift("b", 2)).await;
    assert_eq!(changed.version, Version(2));
    sleep(500).await;
    let served = cluster.replica(leader).read_configuration().await;
    assert!(!served.is_confirmed || served.configuration.version == Version(2));
    assert_eq!(served.configuration.version.0, 1);
    cluster.disks[leader].set_free_bytes(None);
    cluster.wait_for_convergence().await;
    assert!(
        cluster
            .replica(leader)
            .read_configuration()
            .await
            .is_confirmed
    );
}

#[tokio::test(start_paused = true)]
async fn submit_only_replica_full_refuses_and_keeps_serving() {
    let cluster = Cluster::started(1, 8).await;
    cluster.submit(0, cap_shift("a", 1)).await;
    cluster.disks[0].set_free_bytes(Some(10));
    let refused = cluster
        .replica(0)
        .submit(cap_shift("b", 2))
        .await
        .unwrap_err();
    let SubmitError::NotRun(NotRun::Refused(Refusal::StorageFull { .. })) = refused else {
        panic!("{refused}");
    };
    assert!(cluster.replica(0).read_configuration().await.is_confirmed);
    cluster.disks[0].set_free_bytes(None);
    assert_eq!(
        cluster.submit(0, cap_shift("b", 2)).await.version,
        Version(2)
    );
}

#[tokio::test(start_paused = true)]
async fn submit_full_followers_refuse_until_one_has_space() {
    let cluster = Cluster::started(3, 9).await;
    let leader = cluster.leader().await;
    let others: Vec<usize> = (0..3).filter(|other| *other != leader).collect();
    for other in &others {
        cluster.disks[*other].set_free_bytes(Some(10));
    }
    let replica = cluster.replica(leader).clone();
    let pending = tokio::spawn(async move { replica.submit(cap_shift("a", 1)).await });
    sleep(1000).await;
    assert!(
        cluster
            .replica(leader)
            .read_configuration()
            .await
            .is_confirmed
    );
    cluster.disks[others[0]].set_free_bytes(None);
    assert_eq!(pending.await.unwrap().unwrap().version, Version(1));
    assert_eq!(
        cluster.submit(leader, cap_shift("b", 2)).await.version,
        Version(2)
    );
}

#[tokio::test(start_paused = true)]
async fn audit_records_are_chained_and_equal_on_every_replica() {
    let mut cluster = Cluster::new(3, 10);
    cluster.entries_per_snapshot = 7;
    cluster.start_all().await;
    cluster.leader().await;
    for number in 0..50 {
        cluster
            .submit(number % 3, cap_shift(&format!("c{number}"), 1))
            .await;
        if number == 25 {
            cluster.restart(1).await;
        }
    }
    cluster.wait_for_convergence().await;
    let trail = cluster.replica(0).audit_records(0, 100);
    assert_eq!(trail.len(), 50);
    let mut chain = Digest::default();
    for record in &trail {
        assert_eq!(record.expected_chain(chain), record.chain);
        chain = record.chain;
    }
    assert_eq!(cluster.replica(1).audit_records(0, 100), trail);
    assert_eq!(cluster.replica(2).audit_records(0, 100), trail);
}

#[tokio::test(start_paused = true)]
async fn audit_records_survive_eviction_from_memory_and_lost_disk() {
    let mut cluster = Cluster::new(3, 20);
    cluster.entries_per_snapshot = 500;
    cluster.start_all().await;
    let leader = cluster.leader().await;
    for number in 0..5000 {
        let id = format!("c{number}");
        cluster.submit(leader, cap_shift(&id, number)).await;
    }
    let lost = (leader + 1) % 3;
    cluster.lose_disk(lost).await;
    cluster.submit(leader, cap_shift("last", 1)).await;
    sleep(10_000).await;
    cluster.wait_for_convergence().await;
    let trail = cluster.replica(leader).audit_records(0, usize::MAX);
    assert_eq!(trail.len(), 5001);
    assert!(
        trail
            .windows(2)
            .all(|pair| pair[1].expected_chain(pair[0].chain) == pair[1].chain)
    );
    assert_eq!(cluster.replica(lost).audit_records(0, usize::MAX), trail);
    cluster.restart(lost).await;
    cluster.wait_for_convergence().await;
    assert_eq!(cluster.replica(lost).audit_records(0, usize::MAX), trail);
    let part = cluster.replica(lost).audit_records(trail[3000].index, 7);
    assert_eq!(part[..], trail[3000..3007]);
}

#[tokio::test(start_paused = true)]
async fn changes_since_returns_changes_after_a_version() {
    let cluster = Cluster::started(1, 11).await;
    for number in 0..5 {
        cluster
            .submit(0, cap_shift(&format!("c{number}"), number))
            .await;
        cluster
            .submit(0, with_base(cap_shift(&format!("r{number}"), 1), 77))
            .await;
    }
    let changes = cluster.replica(0).changes_since(Version(3)).unwrap();
    let ids: Vec<&str> = changes.iter().map(|c| c.command_id.as_str()).collect();
    assert_eq!(ids, ["c3", "c4"]);
    assert_eq!(
        cluster.replica(0).changes_since(Version(5)),
        Some(Vec::new())
    );
    assert_eq!(cluster.replica(0).changes_since(Version(6)), None);
}

#[tokio::test(start_paused = true)]
async fn watch_versions_never_decrease() {
    let mut cluster = Cluster::started(3, 12).await;
    let mut watch = cluster.replica(2).watch();
    let watching = tokio::spawn(async move {
        let mut seen = vec![watch.borrow().version];
        while watch.changed().await.is_ok() {
            seen.push(watch.borrow_and_update().version);
            if seen.last() == Some(&Version(20)) {
                break;
            }
        }
        seen
    });
    for number in 0..20 {
        cluster
            .submit(number % 2, cap_shift(&format!("c{number}"), 1))
            .await;
        if number == 10 {
            let leader = cluster.leader().await;
            cluster.network.freeze(InstanceId(leader as u16));
            sleep(900).await;
            cluster.network.heal();
        }
    }
    let seen = watching.await.unwrap();
    assert!(seen.is_sorted());
    cluster.crash(0);
}

#[tokio::test(start_paused = true)]
async fn spawn_restart_after_a_thousand_changes() {
    for entries_per_snapshot in [0, 300] {
        let mut cluster = Cluster::new(3, 13);
        cluster.entries_per_snapshot = entries_per_snapshot;
        cluster.start_all().await;
        cluster.leader().await;
        for number in 0..1000 {
            cluster
                .submit(0, cap_shift(&format!("c{number}"), number))
                .await;
        }
        for number in 0..3 {
            cluster.crash(number);
        }
        cluster.start_all().await;
        cluster.leader().await;
        cluster.wait_for_convergence().await;
        for replica in cluster.running() {
            assert_eq!(replica.status().version, Version(1000));
            assert_eq!(replica.audit_records(0, 2000).len(), 1000);
        }
    }
}
