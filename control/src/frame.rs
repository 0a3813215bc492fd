use std::ops::Range;

use crate::StorageError;

/// Newest file format that this release reads, and the one that it writes.
pub(crate) const FORMAT: u16 = 1;
/// Magic number at the start of every file of a replica.
const MAGIC: &[u8; 6] = b"lbrnct";
/// Length of the magic number and the format number, in bytes.
const FILE_HEADER_BYTES: usize = 8;
/// Marker at the start of every frame.
const MARKER: &[u8; 4] = b"\xf1LBF";
/// Length of the marker, the content length and the checksum of a frame, in bytes.
const FRAME_HEADER_BYTES: usize = 12;

/// Valid frames at the start of a file.
#[derive(Debug)]
pub(crate) struct Frames {
    /// Byte ranges of the frames' contents.
    pub contents: Vec<Range<usize>>,
    /// Length of the file header and all valid frames, in bytes.
    pub valid_bytes: usize,
}

/// Returns the header that every file starts with: magic number and format number.
pub(crate) fn file_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes
}

/// Appends a frame with `contents` to `bytes`.
pub(crate) fn push_frame(bytes: &mut Vec<u8>, contents: &[u8]) {
    push_frame_header(bytes, contents);
    bytes.extend_from_slice(contents);
}

/// Appends only the header of a frame with `contents`, for contents that are written separately.
pub(crate) fn push_frame_header(bytes: &mut Vec<u8>, contents: &[u8]) {
    let length = u32::try_from(contents.len()).expect("a frame is smaller than 4 GiB");
    bytes.extend_from_slice(MARKER);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(length, contents).to_le_bytes());
}

/// Finds the valid frames of a file. Invalid bytes at the end are left out, since an interrupted
/// write may have left them. Invalid bytes followed by a valid frame are corruption.
pub(crate) fn scan(file: &str, bytes: &[u8]) -> Result<Frames, StorageError> {
    check_header(file, bytes)?;
    let mut frames = Frames {
        contents: Vec::new(),
        valid_bytes: FILE_HEADER_BYTES,
    };
    while let Some(contents) = frame_at(bytes, frames.valid_bytes) {
        frames.valid_bytes = contents.end;
        frames.contents.push(contents);
    }
    match find_frame_after(bytes, frames.valid_bytes) {
        Some(later) => Err(StorageError::Damaged {
            file: file.to_owned(),
            offset: frames.valid_bytes as u64,
            reason: format!("invalid frame, but a valid one follows at offset {later}"),
        }),
        None => Ok(frames),
    }
}

/// Returns the byte range of the contents of a file that must have exactly one frame.
pub(crate) fn scan_single(file: &str, bytes: &[u8]) -> Result<Range<usize>, StorageError> {
    let frames = scan(file, bytes)?;
    match &frames.contents[..] {
        [contents] if frames.valid_bytes == bytes.len() => Ok(contents.clone()),
        _ => Err(StorageError::Damaged {
            file: file.to_owned(),
            offset: frames.valid_bytes as u64,
            reason: "expected exactly one valid frame".to_owned(),
        }),
    }
}

fn check_header(file: &str, bytes: &[u8]) -> Result<(), StorageError> {
    if bytes.len() < FILE_HEADER_BYTES || &bytes[..MAGIC.len()] != MAGIC {
        return Err(StorageError::Damaged {
            file: file.to_owned(),
            offset: 0,
            reason: "expected a file header with the magic number".to_owned(),
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

/// Returns the byte range of the contents of the frame at an offset, if a valid frame starts there.
fn frame_at(bytes: &[u8], offset: usize) -> Option<Range<usize>> {
    let header = bytes.get(offset..offset + FRAME_HEADER_BYTES)?;
    if &header[..MARKER.len()] != MARKER {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().expect("four bytes"));
    let expected = u32::from_le_bytes(header[8..12].try_into().expect("four bytes"));
    let start = offset + FRAME_HEADER_BYTES;
    let contents = bytes.get(start..start + length as usize)?;
    (checksum(length, contents) == expected).then(|| start..start + length as usize)
}

/// Returns the offset of the first valid frame after `from`.
fn find_frame_after(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let offsets = rest.windows(MARKER.len()).enumerate().skip(1);
    offsets
        .filter(|(_, window)| window == MARKER)
        .map(|(offset, _)| from + offset)
        .find(|offset| frame_at(bytes, *offset).is_some())
}

fn checksum(length: u32, contents: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(contents);
    hasher.finalize()
}
