use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

/// Most header fields of a head; the HTTP server accepts no more either.
const MAX_FIELDS: usize = 100;

/// Head of a request, found in the bytes of a connection.
#[derive(Debug)]
pub struct ScannedHead {
    /// Number of requests before it on the connection.
    pub index: u64,
    /// The request, if it has no body.
    pub request: Option<Request<()>>,
}

/// What follows a head on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Following {
    /// A body of this length, which may be 0, and then the next head.
    Body(u64),
    /// Bytes that are not followed any further.
    Unknown,
}

impl ScannedHead {
    /// Parses a whole head, up to and including its empty line. Anything that two readers could
    /// take for bodies of different lengths ends in [`Following::Unknown`].
    pub(super) fn parse(index: u64, bytes: &[u8]) -> (Self, Following) {
        let unknown = Self {
            index,
            request: None,
        };
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut fields);
        let is_whole = head.parse(bytes).is_ok_and(|status| status.is_complete());
        let Some(request) = (is_whole && head.version == Some(1))
            .then(|| to_request(&head))
            .flatten()
        else {
            return (unknown, Following::Unknown);
        };
        let Some(length) = body_length(request.headers()) else {
            return (unknown, Following::Unknown);
        };
        let may_start = length == 0 && !request.headers().contains_key(http::header::EXPECT);
        let head = Self {
            index,
            request: may_start.then_some(request),
        };
        (head, Following::Body(length))
    }
}

fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    let headers = request.headers_mut();
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    (request.method() != Method::CONNECT).then_some(request)
}

/// Returns the length of the body that follows a head, or `None` if it is not given by a single
/// plain number, or no further request follows.
fn body_length(headers: &HeaderMap) -> Option<u64> {
    use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
    if headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(UPGRADE) {
        return None;
    }
    let mut options = headers.get_all(CONNECTION).iter();
    if options.any(|option| !option.as_bytes().eq_ignore_ascii_case(b"keep-alive")) {
        return None;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Some(0);
    };
    let text = length.to_str().ok()?;
    let is_plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    (is_plain && lengths.next().is_none())
        .then(|| text.parse().ok())
        .flatten()
}
