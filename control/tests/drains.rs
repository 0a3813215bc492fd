use laburnumdeal_control::{NotRun, SubmitError};
use laburnumdeal_model::{Change, InstanceId, Refusal, Submission, Target, Verdict};

use crate::cluster::{Cluster, now_ms, sleep, submission};

fn target() -> Target {
    Target::Upstream("catalog-nasr-1".into())
}

fn drain(id: &str, for_ms: u64) -> Submission {
    submission(
        id,
        Change::Drain {
            target: target(),
            at_ms: now_ms() + 1000,
            for_ms,
            step_permille: 300,
            every_ms: 2000,
        },
    )
}

/// Returns how many thousandths the drain has moved according to the leader, or `None` if there is
/// no drain.
async fn moved_permille(cluster: &Cluster) -> Option<u16> {
    let leader = cluster.leader().await;
    let configuration = cluster
        .replica(leader)
        .read_configuration()
        .await
        .configuration;
    configuration
        .drains
        .get(&target())
        .map(|drain| drain.moved_permille)
}

#[tokio::test(start_paused = true)]
async fn drain_steps_on_schedule_and_ends() {
    let cluster = Cluster::started(3, 1).await;
    cluster.submit(0, drain("d", 20_000)).await;
    assert_eq!(moved_permille(&cluster).await, Some(0));
    sleep(1600).await;
    for expected in [300, 600, 900, 1000, 1000] {
        assert_eq!(moved_permille(&cluster).await, Some(expected));
        sleep(2250).await;
    }
    sleep(9_000).await;
    assert_eq!(moved_permille(&cluster).await, None);
}

#[tokio::test(start_paused = true)]
async fn drain_continues_after_change_of_leader() {
    let mut cluster = Cluster::started(3, 2).await;
    cluster.submit(0, drain("d", 0)).await;
    sleep(1600).await;
    assert_eq!(moved_permille(&cluster).await, Some(300));
    let old = cluster.leader().await;
    cluster.crash(old);
    cluster.next_leader(old).await;
    assert_eq!(moved_permille(&cluster).await, Some(300));
    sleep(2500).await;
    assert_eq!(moved_permille(&cluster).await, Some(600));
    sleep(6000).await;
    assert_eq!(moved_permille(&cluster).await, Some(1000));
}

#[tokio::test(start_paused = true)]
async fn drain_paused_takes_no_step() {
    let cluster = Cluster::started(3, 3).await;
    cluster.submit(0, drain("d", 0)).await;
    sleep(1600).await;
    cluster
        .running()
        .for_each(|replica| replica.set_drains_paused(true));
    sleep(30_000).await;
    assert_eq!(moved_permille(&cluster).await, Some(300));
    cluster
        .running()
        .for_each(|replica| replica.set_drains_paused(false));
    sleep(500).await;
    assert_eq!(moved_permille(&cluster).await, Some(600));
}

#[tokio::test(start_paused = true)]
async fn drain_partitioned_leader_takes_no_step() {
    let cluster = Cluster::started(3, 4).await;
    cluster.submit(0, drain("d", 0)).await;
    let old = cluster.leader().await;
    for other in (0..3).filter(|other| *other != old) {
        cluster
            .network
            .partition(InstanceId(old as u16), InstanceId(other as u16));
    }
    sleep(4000).await;
    cluster.network.heal();
    cluster.wait_for_convergence().await;
    let steps = cluster.replica(old).audit_records(0, 100);
    let steps = steps
        .iter()
        .filter(|r| matches!(r.change, Change::DrainStep { .. }));
    assert_eq!(steps.count(), 2);
}

#[tokio::test(start_paused = true)]
async fn drain_step_by_operator_is_refused() {
    let cluster = Cluster::started(1, 5).await;
    let step = Change::DrainStep {
        target: target(),
        moved_permille: 1000,
    };
    let mut forged = submission("d", step.clone());
    forged.operator = "laburnumdeal".into();
    let refused = cluster.replica(0).submit(forged).await.unwrap_err();
    let SubmitError::NotRun(NotRun::Refused(Refusal::NotAllowed { .. })) = refused else {
        panic!("{refused}");
    };
    let verdict = cluster.submit(0, submission("s", step)).await.verdict;
    assert!(matches!(
        verdict,
        Verdict::Refused(Refusal::NotAllowed { .. })
    ));
}
