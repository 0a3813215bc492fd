//! Prints the bytes of the exchanges that `docs/INTERFACE.md` shows: a look-up, requests with their
//! outcomes, and what an upstream receives.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_tests::{Cluster, Plan, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time without data after which an answer counts as complete.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

#[tokio::main]
async fn main() -> io::Result<()> {
    callers().await?;
    upstream().await
}

/// Sends requests as a caller and prints each request with its response.
async fn callers() -> io::Result<()> {
    let cluster = Cluster::spawn(Plan::default()).await;
    cluster.wait_members().await;
    let token = cluster.look_up("nasr-1", "gatekeeper").await?.token;
    let address = cluster.instance("nasr-1").caller_address;
    let other = cluster.instance("smouha-1").caller_address;
    let lookup = "GET /laburnum/v1/lookup?service=gatekeeper&address=192.0.2.7 HTTP/1.1\r\n\
                  host: nasr-1\r\n\r\n";
    print_exchange("look-up", address, lookup).await?;
    let unlock = request(
        "POST /unlock/7",
        &format!("laburnum-key: {token}.door-7\r\n"),
    );
    print_exchange("unlock", address, &unlock).await?;
    print_exchange("unlock again, at another instance", other, &unlock).await?;
    let other_body = unlock.replace("/unlock/7", "/unlock/8");
    print_exchange("key used for another request", address, &other_body).await?;
    let keyless = request("POST /unlock/7", "");
    print_exchange("no key", address, &keyless).await?;
    let bare = request("POST /unlock/9", "laburnum-key: door-9\r\n");
    print_exchange("key without a token", address, &bare).await?;
    let unknown = request("GET /units", "").replace("gatekeeper", "catalogue");
    print_exchange("service that does not exist", address, &unknown).await?;
    for upstream in cluster.upstreams() {
        upstream.set(|behavior| behavior.fault = Some(laburnumdeal_tests::Fault::Shed));
    }
    let next = request(
        "POST /unlock/7",
        &format!("laburnum-key: {token}.door-7b\r\n"),
    );
    print_exchange("every upstream sheds", address, &next).await?;
    for upstream in cluster.upstreams() {
        upstream.set(|behavior| behavior.fault = Some(laburnumdeal_tests::Fault::Silent));
    }
    let silent = "laburnum-deadline-ms: 300\r\n";
    let key = format!("laburnum-key: {token}.door-7c\r\n{silent}");
    print_exchange("silent upstream", address, &request("POST /unlock/7", &key)).await
}

/// Runs one instance with one upstream per service and prints what an upstream receives.
async fn upstream() -> io::Result<()> {
    let plan = Plan {
        zones: vec![("nasr", "cairo", 1)],
        upstreams_per_zone: 1,
        ..Plan::default()
    };
    let mut loopback = laburnumdeal_tests::Loopback::new();
    let topology = plan.topology(&mut loopback);
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    for upstream in &topology.upstreams {
        let listener = TcpListener::bind(upstream.address).await?;
        tokio::spawn(accept(listener, exchanges.clone()));
    }
    let folder = tempfile::tempdir()?;
    let instance = &topology.instances[0];
    let mut settings = plan.settings(&topology, &instance.name);
    settings.data_folder = Some(folder.path().join("data"));
    let _host = laburnumdeal_tests::Host::spawn(settings)
        .await
        .map_err(io::Error::other)?;
    wait_until("the instance answers", async || {
        let text = exchange(instance.caller_address, &request("GET /units", "")).await;
        text.is_ok_and(|text| text.contains("laburnum-outcome: answer"))
    })
    .await;
    print("load report", &exchanges, "GET /load");
    print("request", &exchanges, "GET /units");
    Ok(())
}

/// Prints the first exchange of the upstreams whose request starts with `start`.
fn print(title: &str, exchanges: &Mutex<Vec<(String, String)>>, start: &str) {
    let exchanges = exchanges.lock().expect("no panic while locked");
    let found = exchanges
        .iter()
        .find(|(request, _)| request.starts_with(start));
    if let Some((request, answer)) = found {
        println!("== upstream: {title}\n{request}--\n{answer}\n");
    }
}

/// Serves the connections of an upstream and records its exchanges.
async fn accept(listener: TcpListener, exchanges: Arc<Mutex<Vec<(String, String)>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer(stream, exchanges.clone()));
    }
}

async fn answer(
    mut stream: TcpStream,
    exchanges: Arc<Mutex<Vec<(String, String)>>>,
) -> io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let body = match request.starts_with("GET /load") {
            true => "{\"in_flight\":0,\"slots\":9,\"state\":\"ready\"}",
            false => "7 units\n",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
        exchanges
            .lock()
            .expect("no panic while locked")
            .push((request, answer));
    }
}

fn request(start: &str, headers: &str) -> String {
    format!(
        "{start} HTTP/1.1\r\nhost: edge\r\nlaburnum-service: gatekeeper\r\n{headers}\
         content-length: 0\r\n\r\n"
    )
}

async fn print_exchange(title: &str, to: SocketAddr, request: &str) -> io::Result<()> {
    let answer = exchange(to, request).await?;
    println!("== {title}\n{request}--\n{answer}\n");
    Ok(())
}

/// Sends a request on a new connection and returns all bytes of the response.
async fn exchange(to: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(read) = tokio::time::timeout(IDLE_TIMEOUT, stream.read(&mut buffer)).await {
        match read? {
            0 => break,
            length => bytes.extend_from_slice(&buffer[..length]),
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
