//! Access control of the API. Liveness, readiness and metrics are open to everyone. All other requests need a bearer
//! token or, if no token is set, must come from the same VM.

use std::net::SocketAddr;

use dropshot::{ClientErrorStatusCode, HttpError};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use tokio::sync::watch;

/// Minimum length of a token in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// An access token. Only the hash is stored, so the text cannot appear in logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token(blake3::Hash);

impl Token {
    /// Hashes the text of a token after trimming white space. Returns `None` if the text is too short.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        (text.len() >= MIN_TOKEN_BYTES).then(|| Self(blake3::hash(text.as_bytes())))
    }

    /// Whether this is the text of the token. Hashes are compared in constant time and do not reveal how much of a guess
    /// is correct.
    fn matches(&self, text: &str) -> bool {
        self.0 == blake3::hash(text.as_bytes())
    }
}

/// Why a request to the API is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// No token is set, and the request comes from another VM.
    #[error("without a token this API answers on its own VM only: set `operator.token_file`")]
    Remote,
    /// The request has no token.
    #[error("a token is needed: send `authorization: Bearer TOKEN`")]
    NoToken,
    /// The token in the request is not the token of this node.
    #[error("the token is not the one of this node: read `operator.token_file` again")]
    WrongToken,
}

impl From<Denied> for HttpError {
    fn from(it: Denied) -> Self {
        let status = match it {
            Denied::Remote => ClientErrorStatusCode::FORBIDDEN,
            Denied::NoToken | Denied::WrongToken => ClientErrorStatusCode::UNAUTHORIZED,
        };
        HttpError::for_client_error(None, status, it.to_string())
    }
}

/// Access control of the API. The token can be replaced while the node runs.
#[derive(Clone, Debug)]
pub struct Access {
    /// The current token; `None` if no token is set.
    pub token: watch::Receiver<Option<Token>>,
}

impl Access {
    /// Checks whether a request with these headers from `peer` may use the API.
    pub fn check(&self, headers: &HeaderMap, peer: SocketAddr) -> Result<(), Denied> {
        let token = self.token.borrow();
        let Some(token) = &*token else {
            return if peer.ip().is_loopback() { Ok(()) } else { Err(Denied::Remote) };
        };
        let sent = headers.get(AUTHORIZATION).and_then(|it| it.to_str().ok());
        let sent = sent.and_then(|it| it.strip_prefix("Bearer "));
        match sent {
            None => Err(Denied::NoToken),
            Some(it) if token.matches(it.trim()) => Ok(()),
            Some(_) => Err(Denied::WrongToken),
        }
    }
}
