//! Look-ups, requests and drains over real daemons without faults.

use laburnumdeal_tests::{CallerRequest, Cluster, Plan, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn path_read_reaches_upstream_and_answers_whole() {
    let cluster = Cluster::spawn(Plan::default()).await;
    let found = cluster.look_up("nasr-1", "catalog").await.unwrap();
    assert!(!found.instances.is_empty());
    let request = CallerRequest::get("catalog", "/units").header("x-operation", "read-1");
    let response = cluster
        .send(&found.instances[0].name, &request)
        .await
        .unwrap();
    assert_eq!(
        (response.status.as_u16(), response.outcome()),
        (200, "answer"),
        "{}",
        response.text()
    );
    assert!(
        response.text().contains("ran read-1 /units with 0 bytes"),
        "{}",
        response.text()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn path_unlock_with_key_runs_once_over_resends() {
    let cluster = Cluster::spawn(Plan::default()).await;
    wait_until("nasr-1 considers all instances live", async || {
        let rows = cluster.operator("nasr-1").rows("show instances").await;
        rows.iter().all(|row| row[3] == "live")
    })
    .await;
    let token = cluster.look_up("nasr-1", "gatekeeper").await.unwrap().token;
    let request = CallerRequest::post("gatekeeper", "/unlock/7", "please")
        .header("laburnum-key", format!("{token}.door-7"))
        .header("x-operation", "unlock-7");
    for instance in ["nasr-1", "nasr-2", "smouha-1"] {
        let response = cluster.send(instance, &request).await.unwrap();
        assert_eq!(
            (response.status.as_u16(), response.outcome()),
            (200, "answer"),
            "{}",
            response.text()
        );
    }
    assert_eq!(cluster.runs()["unlock-7"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn path_unlock_without_key_gets_clear_refusal() {
    let cluster = Cluster::spawn(Plan::default()).await;
    let response = cluster
        .send(
            "nasr-1",
            &CallerRequest::post("gatekeeper", "/unlock/7", ""),
        )
        .await
        .unwrap();
    assert_eq!(response.status.as_u16(), 428);
    assert_eq!(response.outcome(), "not-run");
    assert!(response.text().contains("laburnum-key"));
}

#[tokio::test(flavor = "multi_thread")]
async fn path_drained_upstream_gets_no_new_work_anywhere() {
    let cluster = Cluster::spawn(Plan::default()).await;
    let (version, in_force) = cluster
        .operator("nasr-1")
        .change("drain upstream catalog-nasr-1")
        .await;
    assert_eq!((version, in_force.len()), (1, 3));
    let drained = cluster.upstream("catalog-nasr-1");
    wait_until("the drain has moved all requests", async || {
        let rows = cluster.operator("nasr-2").rows("show drains").await;
        rows.iter()
            .any(|row| row[0] == "upstream catalog-nasr-1" && row[5] == "1000")
    })
    .await;
    wait_until(
        "the drain is in force at the owner of the upstream",
        async || {
            let mut states = Vec::new();
            for name in ["nasr-1", "nasr-2"] {
                let query = "show upstreams where upstream = catalog-nasr-1";
                states.extend(cluster.operator(name).rows(query).await);
            }
            states
                .iter()
                .any(|row| row[7] == "drained" || row[7] == "draining")
        },
    )
    .await;
    let before = drained.runs().len();
    for number in 0..20 {
        let request = CallerRequest::get("catalog", &format!("/units/{number}"));
        for instance in ["nasr-1", "nasr-2", "smouha-1"] {
            assert_eq!(
                cluster.send(instance, &request).await.unwrap().outcome(),
                "answer"
            );
        }
    }
    assert_eq!(drained.runs().len(), before);
}
