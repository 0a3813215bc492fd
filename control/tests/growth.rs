//! Members that join, take the place of those that are gone, and spread over regions.

use std::time::Duration;

use laburnumdeal_control::{AutoMembershipSettings, MemberRole};
use laburnumdeal_model::Version;

use crate::cluster::{Cluster, cap, sleep};

const SEEDS: u16 = 3;
const INSTANCES: usize = 6;
const VOTERS: usize = 5;

fn auto_membership() -> AutoMembershipSettings {
    AutoMembershipSettings {
        voter_timeout_ms: 500,
        observer_timeout_ms: 1_000,
        join_interval_ms: 50,
        ..AutoMembershipSettings::default()
    }
}

async fn grown(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(SEEDS, seed);
    cluster.auto_membership = Some(auto_membership());
    cluster.start_all().await;
    for number in usize::from(SEEDS)..INSTANCES {
        cluster.start(number).await.unwrap();
    }
    wait_for(&cluster, VOTERS, INSTANCES).await;
    cluster
}

/// Waits until the leader counts that many voters and members, all of them running.
async fn wait_for(cluster: &Cluster, voters: usize, members: usize) {
    for _ in 0..3000 {
        let running: Vec<_> = cluster.running().map(|r| r.status().identity).collect();
        let leading = cluster.running().find(|replica| replica.status().has_lease);
        if let Some(leader) = leading {
            let list = leader.status().replicas;
            let votes = list.iter().filter(|r| r.member.role == MemberRole::Voter);
            let live = list.iter().all(|r| running.contains(&r.member.identity));
            if votes.count() == voters && list.len() == members && live {
                return;
            }
        }
        sleep(10).await;
    }
    let leader = cluster.running().find(|replica| replica.status().has_lease);
    panic!("members: {:#?}", leader.map(|l| l.status().replicas));
}

#[tokio::test(start_paused = true)]
async fn run_joining_six_instances_become_five_voters_over_three_regions() {
    for seed in 0..5 {
        let cluster = grown(seed).await;
        let leader = cluster.leader().await;
        let list = cluster.replica(leader).status().replicas;
        for number in 0..3 {
            let region = format!("region-{number}");
            let voters = list
                .iter()
                .filter(|r| r.member.role == MemberRole::Voter && r.member.region == region);
            assert!(voters.count() <= 2, "{list:#?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn grow_two_lost_disks_lose_nothing_and_vote_again() {
    for seed in 0..8 {
        let mut cluster = grown(seed).await;
        let leader = cluster.leader().await;
        cluster.submit(leader, cap("a", 1)).await;
        let other = (leader + 1) % INSTANCES;
        for lost in [leader, other] {
            cluster.kill(lost);
            cluster.disks[lost] = crate::fake_disk::FakeDisk::new();
        }
        for lost in [leader, other] {
            cluster.start(lost).await.unwrap();
        }
        wait_for(&cluster, VOTERS, INSTANCES).await;
        let leader = cluster.leader().await;
        let committed = cluster.submit(leader, cap("b", 2)).await;
        assert_eq!(committed.version, Version(2), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn grow_voter_gone_for_good_gives_way_to_another_instance() {
    let mut cluster = grown(11).await;
    let leader = cluster.leader().await;
    let status = cluster.replica(leader).status();
    let voter = status
        .replicas
        .iter()
        .position(|r| r.member.role == MemberRole::Voter && r.member.identity != status.identity);
    let name = status.replicas[voter.unwrap()].member.instance.clone();
    let number: usize = name.strip_prefix("control-").unwrap().parse().unwrap();
    cluster.kill(number);
    wait_for(&cluster, VOTERS, INSTANCES - 1).await;
    cluster.start(6).await.unwrap();
    wait_for(&cluster, VOTERS, INSTANCES).await;
}

#[tokio::test(start_paused = true)]
async fn commit_majority_waits_for_enough_copies() {
    let mut cluster = Cluster::new(SEEDS, 3);
    cluster.auto_membership = Some(auto_membership());
    cluster.start_all().await;
    let leader = cluster.leader().await;
    cluster.kill((leader + 1) % usize::from(SEEDS));
    let submitting = cluster.replica(leader).submit(cap("a", 1));
    let answered = tokio::time::timeout(Duration::from_secs(5), submitting).await;
    assert!(
        !matches!(answered, Ok(Ok(_))),
        "two copies answered a change that needs three: {answered:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn run_formation_later_start_waits_for_the_log_that_exists() {
    let mut cluster = Cluster::new(SEEDS, 4);
    cluster.auto_membership = Some(AutoMembershipSettings {
        may_bootstrap: false,
        ..auto_membership()
    });
    cluster.start_all().await;
    sleep(5_000).await;
    assert!(cluster.running().all(|r| r.status().replicas.is_empty()));
}

#[tokio::test(start_paused = true)]
async fn run_bootstrap_ids_that_differ_form_one_log() {
    let names = laburnumdeal_control::InstanceNames::extensible();
    let (b, a) = (names.id("b").unwrap(), names.id("a").unwrap());
    assert!(b < a, "ids follow the order of asking");
    assert_eq!(names.name(a), "a");
}
