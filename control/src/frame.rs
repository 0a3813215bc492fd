use std::ops::Range;

use crate::StorageError;

/// Newest format of files that this release reads and writes.
pub(crate) const FORMAT: u16 = 1;
/// First bytes of every file of a replica.
const MAGIC: &[u8; 6] = b"lbrnct";
/// Length of the first bytes and the format number, in bytes.
const FILE_HEADER_BYTES: usize = 8;
/// First bytes of every frame.
const MARKER: &[u8; 4] = b"\xf1LBF";
/// Length of a frame without its contents, in bytes.
const FRAME_HEADER_BYTES: usize = 12;

/// Frames of one file, each with a checksum.
#[derive(Debug)]
pub(crate) struct Frames {
    /// Places of the contents of whole frames.
    pub contents: Vec<Range<usize>>,
    /// Length of the file header and all whole frames, in bytes.
    pub whole_bytes: usize,
}

/// Returns the bytes that a file starts with.
pub(crate) fn file_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes
}

/// Appends a frame around `contents` to `bytes`.
pub(crate) fn push_frame(bytes: &mut Vec<u8>, contents: &[u8]) {
    push_frame_header(bytes, contents);
    bytes.extend_from_slice(contents);
}

/// Appends what a frame around `contents` starts with.
pub(crate) fn push_frame_header(bytes: &mut Vec<u8>, contents: &[u8]) {
    let length = u32::try_from(contents.len()).expect("a frame is smaller than 4 GiB");
    bytes.extend_from_slice(MARKER);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(length, contents).to_le_bytes());
}

/// Finds the frames of a file. A tail that an interrupted write may have left is not among them;
/// damage that has a whole frame after it is an error.
pub(crate) fn scan(file: &str, bytes: &[u8]) -> Result<Frames, StorageError> {
    check_header(file, bytes)?;
    let mut frames = Frames {
        contents: Vec::new(),
        whole_bytes: FILE_HEADER_BYTES,
    };
    while let Some(contents) = frame_at(bytes, frames.whole_bytes) {
        frames.whole_bytes = contents.end;
        frames.contents.push(contents);
    }
    match later_frame(bytes, frames.whole_bytes) {
        Some(later) => Err(StorageError::Damaged {
            file: file.to_owned(),
            offset: frames.whole_bytes as u64,
            reason: format!("a frame fails its checksum, but a whole one follows at {later}"),
        }),
        None => Ok(frames),
    }
}

/// Returns the contents of a file that has exactly one frame.
pub(crate) fn scan_one(file: &str, bytes: &[u8]) -> Result<Range<usize>, StorageError> {
    let frames = scan(file, bytes)?;
    match &frames.contents[..] {
        [contents] if frames.whole_bytes == bytes.len() => Ok(contents.clone()),
        _ => Err(StorageError::Damaged {
            file: file.to_owned(),
            offset: frames.whole_bytes as u64,
            reason: "expected one whole frame".to_owned(),
        }),
    }
}

fn check_header(file: &str, bytes: &[u8]) -> Result<(), StorageError> {
    if bytes.len() < FILE_HEADER_BYTES || &bytes[..MAGIC.len()] != MAGIC {
        return Err(StorageError::Damaged {
            file: file.to_owned(),
            offset: 0,
            reason: "the file header is missing".to_owned(),
        });
    }
    let found = u16::from_le_bytes([bytes[6], bytes[7]]);
    if found > FORMAT {
        return Err(StorageError::NewerFormat {
            file: file.to_owned(),
            offset: MAGIC.len() as u64,
            found,
            known: FORMAT,
        });
    }
    Ok(())
}

fn frame_at(bytes: &[u8], offset: usize) -> Option<Range<usize>> {
    let header = bytes.get(offset..offset + FRAME_HEADER_BYTES)?;
    if &header[..MARKER.len()] != MARKER {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().expect("four bytes"));
    let sum = u32::from_le_bytes(header[8..12].try_into().expect("four bytes"));
    let start = offset + FRAME_HEADER_BYTES;
    let contents = bytes.get(start..start + length as usize)?;
    (checksum(length, contents) == sum).then(|| start..start + length as usize)
}

fn later_frame(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let places = rest.windows(MARKER.len()).enumerate().skip(1);
    places
        .filter(|(_, window)| window == MARKER)
        .map(|(place, _)| from + place)
        .find(|place| frame_at(bytes, *place).is_some())
}

fn checksum(length: u32, contents: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(contents);
    hasher.finalize()
}
