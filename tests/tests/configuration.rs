//! Accepted changes under faults: they come into force on all instances and are never lost.

use std::time::Duration;

use laburnumdeal_language::{OperatorReply, OperatorRequest};
use laburnumdeal_model::{Refusal, Verdict, Version};
use laburnumdeal_tests::{CallerRequest, Cluster, LinkState, Plan, wait_until};

/// Returns a plan of six instances in three regions, three of them control replicas.
fn plan() -> Plan {
    Plan {
        zones: vec![
            ("nasr", "cairo", 2),
            ("smouha", "alexandria", 2),
            ("tanta", "delta", 2),
        ],
        control: 3,
        upstreams_per_zone: 1,
        ..Plan::default()
    }
}

/// Control replicas of [`plan`].
const REPLICAS: [&str; 3] = ["nasr-1", "smouha-1", "tanta-1"];

async fn leader(cluster: &Cluster) -> String {
    let mut found = String::new();
    wait_until("a replica is the leader", async || {
        for name in REPLICAS.into_iter().filter(|name| cluster.is_running(name)) {
            let rows = cluster.operator(name).rows("show status").await;
            if rows
                .iter()
                .any(|row| row[0] == "replica role" && row[1] == "leader")
            {
                found = name.to_owned();
                return true;
            }
        }
        false
    })
    .await;
    found
}

async fn version_at(cluster: &Cluster, name: &str) -> u64 {
    match cluster
        .operator(name)
        .run_command("show configuration")
        .await
    {
        OperatorReply::Table(table) => table.version.0,
        other => panic!("{name} replied with no table: {other:?}"),
    }
}

async fn wait_version(cluster: &Cluster, name: &str, version: u64) {
    wait_until(&format!("{name} has version {version}"), async || {
        version_at(cluster, name).await >= version
    })
    .await;
}

/// Sends a change to instances in turn, with the same command id, until it has a verdict. Fails
/// unless the verdict is acceptance.
async fn change_until_accepted(cluster: &Cluster, at: &[&str], id: &str, command: &str) -> Version {
    let request = OperatorRequest {
        command: command.to_owned(),
        command_id: Some(id.parse().unwrap()),
        ..Default::default()
    };
    let mut accepted = None;
    wait_until(&format!("{command:?} has a verdict"), async || {
        for name in at.iter().filter(|name| cluster.is_running(name)) {
            if let OperatorReply::Verdict(reply) =
                cluster.operator(name).send(request.clone()).await
            {
                match reply.verdict {
                    Verdict::Accepted { version } => accepted = Some(version),
                    other => panic!("{command:?} was not accepted: {other}"),
                }
                return true;
            }
        }
        false
    })
    .await;
    accepted.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn change_accepted_is_in_force_on_every_instance() {
    let cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let leader = leader(&cluster).await;
    let (version, in_force) = cluster
        .operator(&leader)
        .change("cap shift catalog at 50 per s")
        .await;
    assert_eq!(in_force.len(), 6, "{in_force:?}");
    for instance in &cluster.topology().instances {
        assert_eq!(version_at(&cluster, &instance.name).await, version);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_same_base_one_wins_and_other_is_refused_with_winner() {
    let cluster = Cluster::spawn(plan()).await;
    let leader = leader(&cluster).await;
    let send = |command: &'static str| {
        let operator = cluster.operator(&leader);
        async move {
            let request = OperatorRequest {
                command: command.to_owned(),
                base: Some(Version(0)),
                ..Default::default()
            };
            operator.send(request).await
        }
    };
    let (one, two) = tokio::join!(
        send("cap shift catalog at 50 per s"),
        send("cap shift catalog at 60 per s")
    );
    let verdicts: Vec<Verdict> = [one, two]
        .into_iter()
        .map(|reply| match reply {
            OperatorReply::Verdict(reply) => reply.verdict,
            other => panic!("the reply is no verdict: {other:?}"),
        })
        .collect();
    let accepted = verdicts
        .iter()
        .filter(|v| matches!(v, Verdict::Accepted { .. }))
        .count();
    let superseded = verdicts
        .iter()
        .filter(|v| matches!(v, Verdict::Refused(Refusal::Superseded { .. })))
        .count();
    assert_eq!((accepted, superseded), (1, 1), "{verdicts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_survives_death_of_leader() {
    let mut cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let first = leader(&cluster).await;
    let id = "before-the-death";
    let command = "cap shift catalog at 50 per s";
    let version = change_until_accepted(&cluster, &[&first], id, command).await;
    cluster.kill(&first).await;
    let next = leader(&cluster).await;
    let again = change_until_accepted(&cluster, &[&next], id, command).await;
    assert_eq!(again, version, "a resent command gets its first verdict");
    let other = "cap shift catalog at 70 per s";
    let later = change_until_accepted(&cluster, &[&next], "after-the-death", other).await;
    assert!(later > version);
    for instance in cluster
        .topology()
        .instances
        .iter()
        .filter(|i| i.name != first)
    {
        wait_version(&cluster, &instance.name, later.0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_while_leader_is_cut_off_is_neither_accepted_nor_confirmed_there() {
    let cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let old = leader(&cluster).await;
    cluster.set_instance_links(&old, LinkState::Silent);
    let others: Vec<&str> = REPLICAS.into_iter().filter(|name| *name != old).collect();
    let command = "cap shift catalog at 50 per s";
    let version = change_until_accepted(&cluster, &others, "while-cut", command).await;
    let reply = cluster
        .operator(&old)
        .run_command("cap shift catalog at 99 per s")
        .await;
    assert!(
        matches!(
            reply,
            OperatorReply::NotRun { .. } | OperatorReply::Unknown { .. }
        ),
        "{reply:?}"
    );
    match cluster
        .operator(&old)
        .run_command("show configuration")
        .await
    {
        OperatorReply::Table(table) => assert!(
            !table.confirmed,
            "a replica without contact confirmed its configuration"
        ),
        other => panic!("the reply is no table: {other:?}"),
    }
    cluster.set_instance_links(&old, LinkState::Open);
    wait_version(&cluster, &old, version.0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_after_leader_was_frozen_past_its_lease_never_reverts() {
    let cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let old = leader(&cluster).await;
    cluster.host(&old).freeze().await;
    let others: Vec<&str> = REPLICAS.into_iter().filter(|name| *name != old).collect();
    let command = "cap shift catalog at 50 per s";
    let version = change_until_accepted(&cluster, &others, "while-frozen", command).await;
    cluster.host(&old).thaw();
    let command = "cap shift catalog at 60 per s";
    let later = change_until_accepted(&cluster, &REPLICAS, "after-the-thaw", command).await;
    assert!(later > version);
    for instance in &cluster.topology().instances {
        wait_version(&cluster, &instance.name, later.0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_reply_names_cut_off_instances_as_fenced() {
    let cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let leader = leader(&cluster).await;
    let cut = if leader == "tanta-1" {
        "smouha-2"
    } else {
        "tanta-2"
    };
    cluster.set_instance_links(cut, LinkState::Silent);
    let request = OperatorRequest {
        command: "cap shift catalog at 50 per s".to_owned(),
        wait_ms: Some(10_000),
        ..Default::default()
    };
    let reply = match cluster.operator(&leader).send(request).await {
        OperatorReply::Verdict(reply) => reply,
        other => panic!("the reply is no verdict: {other:?}"),
    };
    assert_eq!(reply.in_force.len(), 5, "{reply:?}");
    assert_eq!(reply.fenced, [cut], "{reply:?}");
    let ready = cluster.readiness(cut).await;
    assert!(ready.contains("fenced"), "{ready}");
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_without_disk_restarting_while_cut_off_serves_only_after_it_has_configuration() {
    let mut cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let leader = leader(&cluster).await;
    let drain = "drain upstream catalog-tanta-1 force";
    let (version, _) = cluster.operator(&leader).change(drain).await;
    wait_version(&cluster, "tanta-2", version + 1).await;
    cluster.kill("tanta-2").await;
    cluster.set_instance_links("tanta-2", LinkState::Silent);
    cluster.start("tanta-2").await.unwrap();
    let response = cluster
        .send("tanta-2", &CallerRequest::get("catalog", "/units"))
        .await
        .unwrap();
    assert_eq!(response.outcome(), "not-run", "{}", response.text());
    cluster.set_instance_links("tanta-2", LinkState::Open);
    wait_version(&cluster, "tanta-2", version + 1).await;
    let runs = cluster.upstream("catalog-tanta-1").runs().len();
    for number in 0..10 {
        let request = CallerRequest::get("catalog", &format!("/units/{number}"));
        let _ = cluster.send("tanta-2", &request).await.unwrap();
    }
    assert_eq!(cluster.upstream("catalog-tanta-1").runs().len(), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_with_lost_disk_comes_back_and_second_loss_keeps_changes() {
    let mut cluster = Cluster::spawn(plan()).await;
    cluster.wait_members().await;
    let first = leader(&cluster).await;
    let command = "cap shift catalog at 50 per s";
    let version = change_until_accepted(&cluster, &[&first], "one", command).await;
    let others: Vec<&str> = REPLICAS.into_iter().filter(|name| *name != first).collect();
    cluster.kill(others[0]).await;
    cluster.delete_data_folder(others[0]);
    cluster.start(others[0]).await.unwrap();
    wait_version(&cluster, others[0], version.0).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.kill(others[1]).await;
    let command = "cap shift catalog at 60 per s";
    let later = change_until_accepted(&cluster, &REPLICAS, "two", command).await;
    assert!(later > version);
    let history = cluster.operator(others[0]).rows("history").await;
    assert!(history.iter().any(|row| row[3] == "one"), "{history:?}");
}
