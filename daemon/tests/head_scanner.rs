//! Tests of finding the heads of requests in the bytes of a connection.

use laburnumdeal_daemon::HeadScanner;

/// Requests with and without bodies, and one after which the scanner cannot go on.
const STREAM: &str = "GET /1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: a\r\n\r\n\
    \r\nPOST /2 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 31\r\n\r\n\
    GET /inner HTTP/1.1\r\nHost: x\r\n\r\n\
    GET /3 HTTP/1.1\nHost: shop.example\nContent-Length: 0\n\n\
    PUT /4 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n\
    0\r\n\r\nGET /5 HTTP/1.1\r\nHost: shop.example\r\n\r\n";

/// Position and, for requests without a body, path of each head in `bytes`, cut as given.
fn scan(bytes: &[u8], cuts: &[usize]) -> Vec<(u64, Option<String>)> {
    let mut scanner = HeadScanner::default();
    let mut found = Vec::new();
    let (mut start, ends) = (0, cuts.iter().copied().chain([bytes.len()]));
    for end in ends {
        for head in scanner.push(&bytes[start..end]) {
            let path = head.request.map(|request| request.uri().path().to_owned());
            found.push((head.index, path));
        }
        start = end;
    }
    found
}

fn expected() -> Vec<(u64, Option<String>)> {
    let path = |text: &str| Some(text.to_owned());
    vec![(0, path("/1")), (1, None), (2, path("/3")), (3, None)]
}

#[test]
fn push_body_that_looks_like_a_request_is_skipped() {
    assert_eq!(scan(STREAM.as_bytes(), &[]), expected());
}

#[test]
fn push_bytes_cut_anywhere_finds_the_same_heads() {
    let bytes = STREAM.as_bytes();
    for first in 0..bytes.len() {
        assert_eq!(scan(bytes, &[first]), expected(), "cut at {first}");
    }
    let all: Vec<usize> = (1..bytes.len()).collect();
    assert_eq!(scan(bytes, &all), expected(), "byte by byte");
}

#[test]
fn push_ambiguous_length_ends_the_scan() {
    let ambiguous = [
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity",
        "Content-Length : 5",
        "Content-Length: 99999999999999999999",
        "Connection: close",
        "Upgrade: other\r\nConnection: upgrade",
    ];
    for fields in ambiguous {
        let text = format!("GET /1 HTTP/1.1\r\n{fields}\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
        assert_eq!(scan(text.as_bytes(), &[]), [(0, None)], "{fields}");
    }
}

#[test]
fn push_broken_or_oversized_head_ends_the_scan() {
    for head in [
        "nonsense",
        "GET /1 HTTP/1.0",
        "GET /1 HTTP/2.0",
        "G\u{0}T /1 HTTP/1.1",
    ] {
        let text = format!("{head}\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
        assert_eq!(scan(text.as_bytes(), &[]), [(0, None)], "{head}");
    }
    let long = format!("GET /1 HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    assert_eq!(scan(long.as_bytes(), &[]), []);
}
