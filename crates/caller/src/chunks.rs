//! Recognizes bodies in the chunked transfer coding by their bytes.

/// Longest first line of a chunk.
const MAX_LINE_BYTES: usize = 1024;

/// How much of a body some bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Extent {
    Whole,
    Start,
}

/// The first chunk of some bytes.
enum Chunk<'a> {
    /// A chunk with data, and the bytes after it.
    Data(&'a [u8]),
    /// The chunk without data, and the trailers after it.
    Last(&'a [u8]),
    /// The bytes end before the chunk does.
    Cut,
    Invalid,
}

/// Whether these bytes are chunks only: up to the end of a whole body, or at least one in its start.
pub(crate) fn is_chunked(mut buf: &[u8], extent: Extent) -> bool {
    let mut has_data = false;
    loop {
        match first_chunk(buf) {
            Chunk::Data(rest) => (buf, has_data) = (rest, true),
            Chunk::Last(trailers) => return extent == Extent::Whole && is_end(trailers),
            Chunk::Cut => return extent == Extent::Start && has_data,
            Chunk::Invalid => return false,
        }
    }
}

fn first_chunk(buf: &[u8]) -> Chunk<'_> {
    let start = &buf[..buf.len().min(MAX_LINE_BYTES)];
    let Some(line_len) = start.windows(2).position(|it| it == b"\r\n") else {
        return if start.len() < MAX_LINE_BYTES { Chunk::Cut } else { Chunk::Invalid };
    };
    let Some(size) = parse_size(&buf[..line_len]) else { return Chunk::Invalid };
    let data = &buf[line_len + 2..];
    if size == 0 {
        return Chunk::Last(data);
    }
    match data.split_at_checked(size) {
        Some((_, rest)) if rest.len() >= 2 => match rest.strip_prefix(b"\r\n") {
            Some(rest) => Chunk::Data(rest),
            None => Chunk::Invalid,
        },
        _ => Chunk::Cut,
    }
}

/// The size in the first line of a chunk, which may be followed by extensions.
fn parse_size(line: &[u8]) -> Option<usize> {
    let digits = line.split(|it| *it == b';').next()?;
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    is_number.then(|| usize::from_str_radix(str::from_utf8(digits).ok()?, 16).ok())?
}

/// Whether the bytes after the last chunk are trailers and an empty line.
fn is_end(trailers: &[u8]) -> bool {
    trailers == b"\r\n" || trailers.contains(&b':') && trailers.ends_with(b"\r\n\r\n")
}
