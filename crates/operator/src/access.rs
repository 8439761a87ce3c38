//! Who may use the API. Liveness, readiness and metrics answer anyone. The rest asks for a bearer token,
//! or, where none is set, for a caller on the same VM.

use std::net::SocketAddr;

use dropshot::{ClientErrorStatusCode, HttpError};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use tokio::sync::watch;

/// Shortest token in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// A token; only its hash is kept, and its text never appears in logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token(blake3::Hash);

impl Token {
    /// The token with this text; white space around it does not count. Nothing if it is too short.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        (text.len() >= MIN_TOKEN_BYTES).then(|| Self(blake3::hash(text.as_bytes())))
    }

    /// Hashes are compared in constant time, and a hash tells nothing about how much of a guess is
    /// right.
    fn is(&self, text: &str) -> bool {
        self.0 == blake3::hash(text.as_bytes())
    }
}

/// Why a caller may not use the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// No token is set, and the caller is on another VM.
    #[error("without a token this API answers on its own VM only: set `operator.token_file`")]
    Remote,
    /// The request has no token.
    #[error("a token is needed: send `authorization: Bearer TOKEN`")]
    NoToken,
    /// The token is another one.
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

/// Decides who may use the API. The token can be replaced while the node runs.
#[derive(Clone, Debug)]
pub struct Access {
    /// The token in force; nothing if none is set.
    pub token: watch::Receiver<Option<Token>>,
}

impl Access {
    /// Whether a request with these headers from `peer` may use the API.
    pub fn check(&self, headers: &HeaderMap, peer: SocketAddr) -> Result<(), Denied> {
        let token = self.token.borrow();
        let Some(token) = &*token else {
            return if peer.ip().is_loopback() { Ok(()) } else { Err(Denied::Remote) };
        };
        let sent = headers.get(AUTHORIZATION).and_then(|it| it.to_str().ok());
        let sent = sent.and_then(|it| it.strip_prefix("Bearer "));
        match sent {
            None => Err(Denied::NoToken),
            Some(it) if token.is(it.trim()) => Ok(()),
            Some(_) => Err(Denied::WrongToken),
        }
    }
}
