//! Latency of requests sent to the upstream directly, through one entry instance and through two.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use laburnumdeal_tests::{Cluster, Plan};
use tokio::net::TcpStream;

use crate::load::quantile;

const ROUNDS: usize = 3_000;
const TEST_ROUNDS: usize = 20;

/// Service whose reads need no key and whose writes do.
const SERVICE: &str = "gatekeeper";

/// Keep-alive connection with the times of its exchanges.
struct Route {
    name: &'static str,
    sender: SendRequest<Full<Bytes>>,
    token: String,
    times_us: Vec<u64>,
}

/// Sends reads and then writes with keys over three routes in turn and prints the times.
pub async fn run(is_bench: bool) {
    let rounds = if is_bench { ROUNDS } else { TEST_ROUNDS };
    let cluster = Cluster::spawn(Plan::default()).await;
    cluster.wait_members().await;
    let allow = format!("allow {SERVICE} upstreams {SERVICE}-smouha-1");
    cluster.operator("nasr-1").change(&allow).await;
    let mut routes = routes(&cluster).await;
    for method in ["GET", "POST"] {
        for number in 0..rounds {
            for route in &mut routes {
                route.send(method, number).await;
            }
        }
        print(method, &mut routes);
    }
}

async fn routes(cluster: &Cluster) -> [Route; 3] {
    let mut upstreams = cluster.topology().upstreams.iter();
    let upstream = upstreams
        .find(|upstream| upstream.name == format!("{SERVICE}-smouha-1"))
        .expect("the plan has the upstream");
    let one = cluster.instance("smouha-1").caller_address;
    let two = cluster.instance("nasr-1").caller_address;
    [
        Route::open("direct", upstream.address, token(cluster, "smouha-1").await).await,
        Route::open("one entry", one, token(cluster, "smouha-1").await).await,
        Route::open("two entries", two, token(cluster, "nasr-1").await).await,
    ]
}

async fn token(cluster: &Cluster, at: &str) -> String {
    let answer = cluster.look_up(at, SERVICE).await;
    answer.expect("the look-up is answered").token
}

impl Route {
    async fn open(name: &'static str, to: SocketAddr, token: String) -> Self {
        let stream = TcpStream::connect(to)
            .await
            .expect("the address accepts connections");
        stream.set_nodelay(true).expect("the socket is open");
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .expect("the HTTP handshake succeeds");
        tokio::spawn(driver);
        Self {
            name,
            sender,
            token,
            times_us: Vec::new(),
        }
    }

    async fn send(&mut self, method: &str, number: usize) {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/unit/{number}"))
            .header("host", "edge")
            .header("laburnum-service", SERVICE);
        if method == "POST" {
            let key = format!("{}.{}-{number}", self.token, self.name.len());
            request = request.header("laburnum-key", key);
        }
        let request = request
            .body(Full::new(Bytes::new()))
            .expect("the request is valid");
        let sent_at = Instant::now();
        self.sender
            .ready()
            .await
            .expect("the connection stays open");
        let answer = self.sender.send_request(request).await.expect("an answer");
        assert!(
            answer.status().is_success(),
            "{}: {}",
            self.name,
            answer.status()
        );
        answer.into_body().collect().await.expect("a whole answer");
        self.times_us.push(sent_at.elapsed().as_micros() as u64);
    }
}

fn print(method: &str, routes: &mut [Route]) {
    let mut direct = None;
    for route in routes {
        let times_us = &mut std::mem::take(&mut route.times_us);
        let (p50, p99) = (quantile(times_us, 500), quantile(times_us, 990));
        let (direct50, direct99) = *direct.get_or_insert((p50, p99));
        println!(
            "{method} {}: p50 {p50} us ({:.2} of direct), p99 {p99} us ({:.2} of direct)",
            route.name,
            p50 as f64 / direct50 as f64,
            p99 as f64 / direct99 as f64
        );
    }
}
