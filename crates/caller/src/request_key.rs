//! The key by which nodes recognise identical requests.

use http::{HeaderMap, Method, Uri, header};
use policy::RequestKey;

use crate::body::ReceivedBody;
use crate::headers::{self, HeaderNames};

/// Hashes the parts of a request that an endpoint acts on. Parts that differ between repeats of the
/// same request are left out (its ID, deadline and trace), and so is the caller's address, which
/// changes behind load balancers.
///
/// For a body that is too long to keep, only its start and its length are hashed.
pub(crate) fn request_key(
    names: &HeaderNames,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &ReceivedBody,
) -> RequestKey {
    let mut hasher = blake3::Hasher::new();
    // A cryptographic hash, so that a caller cannot construct a request that has the same key as
    // another caller's request.
    let mut add = |part: &[u8]| {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    };
    add(method.as_str().as_bytes());
    add(uri.path_and_query().map_or("/", |it| it.as_str()).as_bytes());
    // Without the port, which differs between nodes on the same VM.
    add(headers::host_of(uri, headers).as_bytes());
    for name in [&names.organisation, &header::AUTHORIZATION, &header::RANGE] {
        add(headers.get(name).map_or(b"", |it| it.as_bytes()));
    }
    match body {
        ReceivedBody::Complete(it, _) => add(it),
        ReceivedBody::Streamed(it) => {
            add(it.start());
            add(&it.size_hint().lower().to_le_bytes());
        }
        ReceivedBody::Consumed => {}
    }
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    RequestKey(u64::from_le_bytes(*first))
}
