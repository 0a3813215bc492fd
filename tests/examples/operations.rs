//! Runs the procedures of the operators' pages on real daemons and prints what an operator sees: a
//! planned drain, a lost machine, a zone that is cut off, a lost disk and a planned stop.

use std::process::Command;

use laburnumdeal_tests::{
    Caller, CallerRequest, Cluster, LinkState, OPERATOR_TOKEN, Plan, binary, wait_until,
};
use tokio::time::{Duration, sleep};

/// Wait where a page says that time passes.
const PAUSE: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() {
    let plan = Plan {
        zones: vec![
            ("nasr", "cairo", 2),
            ("smouha", "alexandria", 2),
            ("tanta", "delta", 1),
        ],
        control: 3,
        ..Plan::default()
    };
    let mut cluster = Cluster::spawn(plan).await;
    cluster.wait_members().await;
    drain(&cluster).await;
    lost_machine(&mut cluster).await;
    cut_off_zone(&cluster).await;
    lost_disk(&mut cluster).await;
    planned_stop(&mut cluster).await;
}

async fn drain(cluster: &Cluster) {
    title("planned drain");
    run_laburnumctl(
        cluster,
        "nasr-1",
        "drain zone nasr now for 1h by 50% every 1s --dry-run",
    );
    run_laburnumctl(
        cluster,
        "nasr-1",
        "drain zone nasr now for 1h by 50% every 1s --wait",
    );
    wait_until("the drain has moved all requests", async || {
        let rows = cluster.operator("nasr-1").rows("show drains").await;
        rows.iter().any(|row| row[5] == "1000")
    })
    .await;
    run_laburnumctl(cluster, "nasr-1", "show drains");
    run_laburnumctl(cluster, "nasr-1", "explain catalog from 192.0.2.7");
    let request =
        CallerRequest::get("catalog", "/units").header("laburnum-request-id", "after-drain");
    let _ = cluster.send("nasr-1", &request).await;
    run_laburnumctl(cluster, "nasr-1", "explain request after-drain");
    run_laburnumctl(cluster, "nasr-1", "undrain zone nasr");
    run_laburnumctl(cluster, "nasr-1", "undrain zone nasr");
    run_laburnumctl(cluster, "nasr-2", "undrain zone nasr");
    run_laburnumctl(cluster, "nasr-1", "history last 5");
}

async fn lost_machine(cluster: &mut Cluster) {
    title("lost machine");
    cluster.kill("nasr-2").await;
    sleep(PAUSE).await;
    run_laburnumctl(cluster, "nasr-1", "show instances");
    run_laburnumctl(cluster, "nasr-1", "show upstreams where zone = nasr");
    run_laburnumctl(cluster, "nasr-1", "cap shift catalog at 40 per s");
    cluster.start("nasr-2").await.expect("nasr-2 starts");
    cluster.wait_ready("nasr-2").await;
    cluster.wait_members().await;
    run_laburnumctl(cluster, "nasr-1", "show instances");
}

async fn cut_off_zone(cluster: &Cluster) {
    title("cut-off zone");
    cluster.set_zone_links("nasr", LinkState::Silent);
    sleep(PAUSE).await;
    page(cluster, "nasr-1", "/ready").await;
    page(cluster, "smouha-1", "/ready").await;
    run_laburnumctl(cluster, "nasr-1", "show instances");
    run_laburnumctl(cluster, "nasr-1", "show zones");
    run_laburnumctl(cluster, "nasr-1", "explain catalog from 192.0.2.7");
    run_laburnumctl(cluster, "nasr-1", "cap shift catalog at 50 per s");
    run_laburnumctl(cluster, "smouha-1", "cap shift catalog at 60 per s --wait");
    let token = cluster.look_up("nasr-1", "gatekeeper").await;
    let token = token
        .expect("a zone that is cut off answers look-ups")
        .token;
    let request = CallerRequest::post("gatekeeper", "/unlock/7", "")
        .header("laburnum-key", format!("{token}.door-7"));
    let response = cluster.send("nasr-1", &request).await.expect("an answer");
    println!(
        "unlock in the zone: {} {}\n",
        response.status,
        response.outcome()
    );
    cluster.set_zone_links("nasr", LinkState::Open);
    wait_until("the zone has the latest version", async || {
        let rows = cluster.operator("nasr-1").rows("show caps").await;
        rows.iter().any(|row| row[2] == "60")
    })
    .await;
    cluster.wait_members().await;
    run_laburnumctl(cluster, "nasr-1", "show caps");
    page(cluster, "nasr-1", "/ready").await;
}

async fn lost_disk(cluster: &mut Cluster) {
    title("lost disk");
    cluster.kill("smouha-1").await;
    cluster.delete_data_folder("smouha-1");
    cluster.start("smouha-1").await.expect("smouha-1 starts");
    cluster.wait_ready("smouha-1").await;
    cluster.wait_members().await;
    run_laburnumctl(cluster, "smouha-1", "show status");
    wait_until("the replica votes again", async || {
        let rows = cluster.operator("smouha-1").rows("show status").await;
        rows.iter()
            .any(|row| row[0] == "replica role" && row[1] == "follower")
    })
    .await;
    run_laburnumctl(cluster, "smouha-1", "show status");
    run_laburnumctl(cluster, "smouha-1", "history last 2");
    run_laburnumctl(cluster, "smouha-1", "audit verify");
    run_laburnumctl(cluster, "nasr-1", "audit verify");
    run_laburnumctl(cluster, "nasr-1", "show status");
}

async fn planned_stop(cluster: &mut Cluster) {
    title("planned stop");
    let stopping = cluster.take_host("smouha-2");
    let address = cluster.instance("smouha-2").operator_address;
    let task = tokio::spawn(stopping.stop());
    sleep(Duration::from_millis(200)).await;
    let response = Caller
        .send(address, &CallerRequest::get("", "/ready"))
        .await;
    if let Ok(response) = response {
        println!("smouha-2 /ready: {} {}", response.status, response.text());
    }
    run_laburnumctl(cluster, "nasr-1", "show instances");
    let _ = task.await;
    sleep(PAUSE).await;
    run_laburnumctl(cluster, "nasr-1", "show instances");
    page(cluster, "nasr-1", "/health").await;
    page(cluster, "nasr-1", "/metrics").await;
}

fn title(text: &str) {
    println!("\n==== {text}\n");
}

async fn page(cluster: &Cluster, instance: &str, path: &str) {
    let address = cluster.instance(instance).operator_address;
    let response = Caller.send(address, &CallerRequest::get("", path)).await;
    let response = response.expect("an instance that runs answers");
    println!(
        "{instance} {path}: {}\n{}",
        response.status,
        response.text()
    );
}

/// Runs `laburnumctl` at an instance and prints its output and exit status.
fn run_laburnumctl(cluster: &Cluster, instance: &str, words: &str) {
    let address = cluster.instance(instance).operator_address.to_string();
    println!("$ laburnumctl --address {instance} {words}");
    let output = Command::new(binary("laburnumctl").expect("laburnumctl is built"))
        .env("LABURNUMCTL_TOKEN", OPERATOR_TOKEN)
        .args(["--address", &address])
        .args(words.split(' '))
        .output()
        .expect("laburnumctl runs");
    print!("{}", String::from_utf8_lossy(&output.stdout));
    print!("{}", String::from_utf8_lossy(&output.stderr));
    println!("[{}]\n", output.status);
}
