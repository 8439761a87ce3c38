//! Identifies the organisation of a request by the caller's API key.
//!
//! If keys are required, the organisation header of the caller is never passed on to an endpoint:
//! the key is removed, and the header is set to the name of the organisation that holds the key.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, StatusCode};
use policy::stable_hash;
use resources::{KeyDigest, Name, Organisation, OrganisationIndex, Priority, Route};

use crate::headers::HeaderNames;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The caller of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    /// `None` for anonymous callers, and for names that the configuration does not list.
    organisation: Option<Arc<Organisation>>,
    /// The key that the caller presented, if keys are required.
    key: Option<KeyDigest>,
    /// Hash of the organisation's name, even if the configuration does not list the organisation.
    pub(crate) hash: u64,
}

/// Why a caller is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request has no key, but one is required.
    NoKey,
    /// No organisation holds the key.
    UnknownKey,
    /// The request has several keys.
    SeveralKeys,
    /// The key is too long or not ASCII.
    Malformed,
}

impl Denied {
    /// Status of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::SeveralKeys | Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    /// Short name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no key",
            Self::UnknownKey => "unknown key",
            Self::SeveralKeys => "several keys",
            Self::Malformed => "malformed key",
        }
    }

    /// Body of the answer.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoKey => "no key: send the API key of your organisation\n",
            Self::UnknownKey => "unknown key: ask your operator for a valid one\n",
            Self::SeveralKeys => "several keys: send one\n",
            Self::Malformed => "malformed key: send its text as it was given to you\n",
        }
    }

    /// Whether a newer configuration may accept the caller.
    pub(crate) fn depends_on_configuration(self) -> bool {
        matches!(self, Self::NoKey | Self::UnknownKey)
    }
}

impl Caller {
    /// Identifies the caller of a request. Public routes also accept anonymous callers.
    pub(crate) fn identify(
        organisations: &OrganisationIndex,
        route: &Route,
        names: &HeaderNames,
        headers: &HeaderMap,
    ) -> Result<Self, Denied> {
        if !organisations.require_keys() {
            return Ok(Self::by_name(organisations, names, headers));
        }
        let key = match presented_key(names, headers) {
            Ok(key) => key,
            Err(_) if route.public => return Ok(Self::default()),
            Err(denied) => return Err(denied),
        };
        match organisations.by_key(key) {
            Some(it) => Ok(Self::with_key(it.clone(), key)),
            None if route.public => Ok(Self::default()),
            None => Err(Denied::UnknownKey),
        }
    }

    /// Identifies the caller by the organisation header. Used if no keys are required.
    fn by_name(
        organisations: &OrganisationIndex,
        names: &HeaderNames,
        headers: &HeaderMap,
    ) -> Self {
        let name = headers.get(&names.organisation).and_then(|it| it.to_str().ok()).unwrap_or("");
        let organisation = organisations.by_name(name).cloned();
        Self { organisation, key: None, hash: stable_hash(name.as_bytes()) }
    }

    fn with_key(organisation: Arc<Organisation>, key: KeyDigest) -> Self {
        let hash = stable_hash(organisation.name.as_bytes());
        Self { organisation: Some(organisation), key: Some(key), hash }
    }

    /// Name of the organisation, empty if there is none.
    pub(crate) fn name(&self) -> &str {
        self.organisation.as_ref().map_or("", |it| &it.name)
    }

    /// Weight of the organisation when capacity is shared under overload.
    pub(crate) fn weight(&self) -> u32 {
        self.organisation.as_ref().map_or(1, |it| it.weight)
    }

    /// Regions whose endpoints may serve the organisation's requests; empty for all.
    pub(crate) fn regions(&self) -> &[Name] {
        self.organisation.as_ref().map_or(&[], |it| &it.regions)
    }

    /// Priority of the organisation's requests, if it overrides the priority of the route.
    pub(crate) fn priority(&self) -> Option<Priority> {
        self.organisation.as_ref()?.priority
    }

    /// Whether the organisation has an allowance.
    pub(crate) fn is_limited(&self) -> bool {
        self.organisation.as_ref().is_some_and(|it| it.allowance().is_some())
    }

    /// Whether the caller's key still belongs to the same organisation. Nothing is sent with a
    /// revoked key.
    pub(crate) fn is_still_valid(&self, organisations: &OrganisationIndex) -> bool {
        let Some(key) = self.key else { return true };
        organisations.by_key(key).is_some_and(|it| it.name == self.name())
    }

    /// Removes the key from the headers and sets the organisation header, if keys are required.
    pub(crate) fn set_headers(
        &self,
        organisations: &OrganisationIndex,
        names: &HeaderNames,
        out: &mut HeaderMap,
    ) {
        if !organisations.require_keys() {
            return;
        }
        out.remove(&names.api_key);
        out.remove(&names.organisation);
        if let Some(it) = &self.organisation
            && let Ok(name) = HeaderValue::from_str(&it.name)
        {
            out.insert(names.organisation.clone(), name);
        }
    }
}

/// The key that a request presents.
fn presented_key(names: &HeaderNames, headers: &HeaderMap) -> Result<KeyDigest, Denied> {
    let mut presented = headers.get_all(&names.api_key).iter();
    let Some(key) = presented.next() else { return Err(Denied::NoKey) };
    if presented.next().is_some() {
        return Err(Denied::SeveralKeys);
    }
    match key.as_bytes() {
        [] => Err(Denied::NoKey),
        it if it.len() > MAX_KEY_BYTES || !it.is_ascii() => Err(Denied::Malformed),
        it => Ok(KeyDigest::of(it)),
    }
}
