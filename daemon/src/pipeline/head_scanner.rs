use bytes::BytesMut;

use crate::pipeline::scanned_head::{Following, ScannedHead};

/// Longest head that is followed.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Finds the heads of requests in the bytes that arrive on a connection. It stops at the first
/// request after which it cannot tell with certainty where the next one begins.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::HeadScanner;
///
/// let mut scanner = HeadScanner::default();
/// assert!(scanner.push(b"GET /a HTTP/1.1\r\nHost: shop.ex").is_empty());
/// let heads = scanner.push(b"ample\r\n\r\nGET /b HTTP/1.1\r\nHost: shop.example\r\n\r\n");
/// let paths: Vec<&str> = heads
///     .iter()
///     .filter_map(|head| Some(head.request.as_ref()?.uri().path()))
///     .collect();
/// assert_eq!(paths, ["/a", "/b"]);
/// ```
#[derive(Debug, Default)]
pub struct HeadScanner {
    position: Position,
    /// Beginning of a head.
    partial: BytesMut,
    /// Start of the last line of `partial`.
    line_start: usize,
    /// Number of heads found.
    found: u64,
}

#[derive(Clone, Copy, Debug, Default)]
enum Position {
    #[default]
    Head,
    Body {
        remaining_bytes: u64,
    },
    /// What follows is not known.
    Lost,
}

impl HeadScanner {
    /// Takes the next bytes of the connection; returns the heads that they complete.
    pub fn push(&mut self, mut bytes: &[u8]) -> Vec<ScannedHead> {
        let mut heads = Vec::new();
        while !bytes.is_empty() {
            bytes = match self.position {
                Position::Head => self.push_line(bytes, &mut heads),
                Position::Body { remaining_bytes } => self.skip_body(bytes, remaining_bytes),
                Position::Lost => break,
            };
        }
        heads
    }

    fn skip_body<'a>(&mut self, bytes: &'a [u8], remaining_bytes: u64) -> &'a [u8] {
        let skipped = usize::try_from(remaining_bytes).map_or(bytes.len(), |n| n.min(bytes.len()));
        self.position = match remaining_bytes - skipped as u64 {
            0 => Position::Head,
            remaining_bytes => Position::Body { remaining_bytes },
        };
        &bytes[skipped..]
    }

    /// Takes bytes up to the end of a line; returns the rest.
    fn push_line<'a>(&mut self, bytes: &'a [u8], heads: &mut Vec<ScannedHead>) -> &'a [u8] {
        let newline = bytes.iter().position(|byte| *byte == b'\n');
        let (line, rest) = bytes.split_at(newline.map_or(bytes.len(), |at| at + 1));
        self.partial.extend_from_slice(line);
        if self.partial.len() > MAX_HEAD_BYTES {
            self.position = Position::Lost;
            self.partial = BytesMut::new();
        } else if newline.is_some() {
            self.end_line(heads);
        }
        rest
    }

    fn end_line(&mut self, heads: &mut Vec<ScannedHead>) {
        let is_empty = matches!(&self.partial[self.line_start..], b"\n" | b"\r\n");
        if !is_empty {
            self.line_start = self.partial.len();
            return;
        }
        let head = std::mem::take(&mut self.partial);
        // Empty lines may precede a head.
        if std::mem::take(&mut self.line_start) == 0 {
            return;
        }
        let (head, following) = ScannedHead::parse(self.found, &head);
        self.found += 1;
        heads.push(head);
        self.position = match following {
            Following::Body(0) => Position::Head,
            Following::Body(remaining_bytes) => Position::Body { remaining_bytes },
            Following::Unknown => Position::Lost,
        };
    }
}
