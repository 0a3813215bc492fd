//! Planned stops interrupt no request, also when the instance is killed during the stop.

use std::time::Duration;

use laburnumdeal_daemon::FaultPoint;
use laburnumdeal_tests::{
    Caller, CallerRequest, CallerResponse, Cluster, Plan, service, wait_until,
};

/// Number of requests in flight when the stop begins.
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

async fn unlock(cluster: &Cluster, at: &str, operation: &str) -> CallerRequest {
    let token = cluster.look_up(at, "gatekeeper").await.unwrap().token;
    CallerRequest::post("gatekeeper", &format!("/unlock/{operation}"), "please")
        .header("laburnum-key", format!("{token}.{operation}"))
        .header("x-operation", operation)
}

fn read(number: usize) -> (String, CallerRequest) {
    let operation = format!("read-{number}");
    let request = CallerRequest::get("gatekeeper", &format!("/state/{operation}"));
    (operation.clone(), request.header("x-operation", &operation))
}

/// Fails with the trace of a request unless it was answered.
async fn assert_answered_or_explain(
    cluster: &Cluster,
    at: &str,
    operation: &str,
    response: &CallerResponse,
) {
    if response.outcome() != "answer" {
        let id = response.header("laburnum-request-id");
        let explanation = cluster
            .operator(at)
            .run_command(&format!("explain request {id}"))
            .await;
        panic!(
            "{operation}: {} {} {explanation:#?}",
            response.outcome(),
            response.text()
        );
    }
    assert_answer(operation, response);
}

fn assert_answer(operation: &str, response: &CallerResponse) {
    let seen = format!("{operation}: {} {}", response.outcome(), response.text());
    assert_eq!(response.outcome(), "answer", "{seen}");
    assert!(
        response.text().contains(&format!("ran {operation} ")),
        "{seen}"
    );
}

type SentRequests = Vec<(
    String,
    CallerRequest,
    tokio::task::JoinHandle<std::io::Result<CallerResponse>>,
)>;

/// Sends reads and unlocks to an instance and returns once an upstream runs one of them.
async fn send_in_flight(cluster: &Cluster, at: &str) -> SentRequests {
    let mut sent = SentRequests::new();
    let address = cluster.instance(at).caller_address;
    for number in 0..IN_FLIGHT {
        let (operation, request) = match number % 2 {
            0 => read(number),
            _ => {
                let operation = format!("unlock-{number}");
                (operation.clone(), unlock(cluster, at, &operation).await)
            }
        };
        let copy = request.clone();
        let task = tokio::spawn(async move { Caller.send(address, &copy).await });
        sent.push((operation, request, task));
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
        let host = cluster.take_host(at);
        let stopping = tokio::spawn(host.stop());
        let mut requests = Vec::new();
        for (operation, request, task) in sent {
            let response = task
                .await
                .unwrap()
                .unwrap_or_else(|e| panic!("{at} {operation}: {e}"));
            let other = if at == "nasr-1" { "nasr-2" } else { "nasr-1" };
            assert_answered_or_explain(&cluster, other, &operation, &response).await;
            requests.push((operation, request));
        }
        stopping.await.unwrap();
        let other = if at == "nasr-1" { "nasr-2" } else { "nasr-1" };
        for (operation, request) in requests
            .iter()
            .filter(|(name, _)| name.starts_with("unlock"))
        {
            let response = cluster.send(other, request).await.unwrap();
            assert_answer(operation, &response);
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
    let host = cluster.take_host("nasr-2");
    let mut hold = host.faults().arm(FaultPoint::UpstreamsHandedOver);
    let stopping = tokio::spawn(host.stop());
    hold.reached().await;
    let found = cluster.look_up("nasr-1", "gatekeeper").await.unwrap();
    assert!(
        found.instances.iter().all(|i| i.name != "nasr-2"),
        "{found:?}"
    );
    for number in 0..IN_FLIGHT {
        let (operation, request) = read(number);
        assert_answer(&operation, &Caller.send(address, &request).await.unwrap());
        let operation = format!("unlock-{number}");
        let request = unlock(&cluster, "nasr-1", &operation).await;
        assert_answer(&operation, &Caller.send(address, &request).await.unwrap());
    }
    hold.release();
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
        let host = cluster.take_host("nasr-2");
        let mut hold = host.faults().arm(step);
        let (kill_sender, kill_receiver) = tokio::sync::oneshot::channel();
        let killing = tokio::spawn(async move {
            let _ = kill_receiver.await;
        });
        let stopping = tokio::spawn(async move {
            tokio::select! {
                () = host.stop() => {}
                _ = killing => {}
            }
        });
        hold.reached().await;
        kill_sender.send(()).unwrap();
        stopping.await.unwrap();
        for (operation, request, task) in sent {
            let first = task.await.unwrap();
            let again = cluster.send("nasr-1", &request).await.unwrap();
            let runs = cluster.runs().get(&operation).copied().unwrap_or(0);
            if operation.starts_with("unlock") {
                assert!(runs <= 1, "{step}: {operation} ran {runs} times");
                let outcomes = [
                    first.ok().map(|response| response.outcome().to_owned()),
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
    cluster.take_host("nasr-2").stop().await;
    for number in 0..IN_FLIGHT {
        let operation = format!("unlock-{number}");
        let request = unlock(&cluster, "nasr-1", &operation).await;
        assert_answer(&operation, &cluster.send("nasr-1", &request).await.unwrap());
    }
}
