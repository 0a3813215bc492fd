//! Planned stops cut nothing off, at every step and with what can happen meanwhile.

use std::time::Duration;

use laburnumdeal_daemon::FaultPoint;
use laburnumdeal_tests::{Ask, Caller, Cluster, Got, Plan, service, wait_until};

/// Requests that are in flight when the stop begins.
const IN_FLIGHT: usize = 12;

async fn slow_cluster() -> Cluster {
    let plan = Plan {
        services: vec![service("gatekeeper", true)],
        ..Plan::default()
    };
    let cluster = Cluster::spawn(plan).await;
    cluster.wait_members().await;
    for upstream in cluster.upstreams() {
        upstream.set(|behavior| behavior.latency = Duration::from_millis(700));
    }
    cluster
}

async fn unlock(cluster: &Cluster, at: &str, operation: &str) -> Ask {
    let token = cluster.look_up(at, "gatekeeper").await.unwrap().token;
    Ask::post("gatekeeper", &format!("/unlock/{operation}"), "please")
        .header("laburnum-key", format!("{token}.{operation}"))
        .header("x-operation", operation)
}

fn read(number: usize) -> (String, Ask) {
    let operation = format!("read-{number}");
    let ask = Ask::get("gatekeeper", &format!("/state/{operation}"));
    (operation.clone(), ask.header("x-operation", &operation))
}

/// Fails with the decisions about a request unless it was answered.
async fn expect_explained(cluster: &Cluster, at: &str, operation: &str, got: &Got) {
    if got.outcome() != "answer" {
        let id = got.header("laburnum-request-id");
        let why = cluster
            .operator(at)
            .ask(&format!("explain request {id}"))
            .await;
        panic!("{operation}: {} {} {why:#?}", got.outcome(), got.text());
    }
    expect_answer(operation, got);
}

fn expect_answer(operation: &str, got: &Got) {
    let seen = format!("{operation}: {} {}", got.outcome(), got.text());
    assert_eq!(got.outcome(), "answer", "{seen}");
    assert!(got.text().contains(&format!("ran {operation} ")), "{seen}");
}

type Sent = Vec<(String, Ask, tokio::task::JoinHandle<std::io::Result<Got>>)>;

/// Sends reads and unlocks to an instance and returns once they are on their way.
async fn send_in_flight(cluster: &Cluster, at: &str) -> Sent {
    let mut sent = Sent::new();
    let address = cluster.instance(at).caller_address;
    for number in 0..IN_FLIGHT {
        let (operation, ask) = match number % 2 {
            0 => read(number),
            _ => {
                let operation = format!("unlock-{number}");
                (operation.clone(), unlock(cluster, at, &operation).await)
            }
        };
        let copy = ask.clone();
        let task = tokio::spawn(async move { Caller.send(address, &copy).await });
        sent.push((operation, ask, task));
    }
    wait_until("requests are in flight", async || {
        cluster.runs().values().sum::<u32>() > 0
    })
    .await;
    sent
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_everything_in_flight_and_resends_after_it() {
    for at in ["nasr-2", "nasr-1", "smouha-1"] {
        let mut cluster = slow_cluster().await;
        let sent = send_in_flight(&cluster, at).await;
        let host = cluster.take(at);
        let stopping = tokio::spawn(host.stop());
        let mut asks = Vec::new();
        for (operation, ask, task) in sent {
            let got = task
                .await
                .unwrap()
                .unwrap_or_else(|e| panic!("{at} {operation}: {e}"));
            let other = if at == "nasr-1" { "nasr-2" } else { "nasr-1" };
            expect_explained(&cluster, other, &operation, &got).await;
            asks.push((operation, ask));
        }
        stopping.await.unwrap();
        let other = if at == "nasr-1" { "nasr-2" } else { "nasr-1" };
        for (operation, ask) in asks.iter().filter(|(name, _)| name.starts_with("unlock")) {
            let got = cluster.send(other, ask).await.unwrap();
            expect_answer(operation, &got);
        }
        for (operation, runs) in cluster.runs() {
            assert!(
                runs == 1 || operation.starts_with("read"),
                "{operation} ran {runs} times"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_serves_callers_who_hold_an_old_look_up() {
    let mut cluster = slow_cluster().await;
    for upstream in cluster.upstreams() {
        upstream.set(|behavior| behavior.latency = Duration::ZERO);
    }
    let address = cluster.instance("nasr-2").caller_address;
    let host = cluster.take("nasr-2");
    let mut held = host.faults().arm(FaultPoint::UpstreamsHandedOver);
    let stopping = tokio::spawn(host.stop());
    held.reached().await;
    let found = cluster.look_up("nasr-1", "gatekeeper").await.unwrap();
    assert!(
        found.instances.iter().all(|i| i.name != "nasr-2"),
        "{found:?}"
    );
    for number in 0..IN_FLIGHT {
        let (operation, ask) = read(number);
        expect_answer(&operation, &Caller.send(address, &ask).await.unwrap());
        let operation = format!("unlock-{number}");
        let ask = unlock(&cluster, "nasr-1", &operation).await;
        expect_answer(&operation, &Caller.send(address, &ask).await.unwrap());
    }
    held.release();
    stopping.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_killed_at_each_step_keeps_at_most_once() {
    for step in [
        FaultPoint::Leaving,
        FaultPoint::UpstreamsHandedOver,
        FaultPoint::ClaimsHandedOver,
    ] {
        let mut cluster = slow_cluster().await;
        let sent = send_in_flight(&cluster, "nasr-2").await;
        let host = cluster.take("nasr-2");
        let mut held = host.faults().arm(step);
        let (told, killed) = tokio::sync::oneshot::channel();
        let killing = tokio::spawn(async move {
            let _ = killed.await;
        });
        let stopping = tokio::spawn(async move {
            tokio::select! {
                () = host.stop() => {}
                _ = killing => {}
            }
        });
        held.reached().await;
        told.send(()).unwrap();
        stopping.await.unwrap();
        for (operation, ask, task) in sent {
            let first = task.await.unwrap();
            let again = cluster.send("nasr-1", &ask).await.unwrap();
            let runs = cluster.runs().get(&operation).copied().unwrap_or(0);
            if operation.starts_with("unlock") {
                assert!(runs <= 1, "{step}: {operation} ran {runs} times");
                let outcomes = [
                    first.ok().map(|got| got.outcome().to_owned()),
                    Some(again.outcome().to_owned()),
                ];
                for outcome in outcomes.into_iter().flatten() {
                    assert!(
                        runs == 0 || outcome != "not-run",
                        "{step}: {operation} {outcome}"
                    );
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_new_keys_work_at_once_elsewhere() {
    let mut cluster = slow_cluster().await;
    for upstream in cluster.upstreams() {
        upstream.set(|behavior| behavior.latency = Duration::ZERO);
    }
    cluster.take("nasr-2").stop().await;
    for number in 0..IN_FLIGHT {
        let operation = format!("unlock-{number}");
        let ask = unlock(&cluster, "nasr-1", &operation).await;
        expect_answer(&operation, &cluster.send("nasr-1", &ask).await.unwrap());
    }
}
