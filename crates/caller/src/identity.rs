//! Whose a request is: the organisation that holds the caller's key.
//!
//! What callers write about their organisation never reaches an endpoint where keys are asked for: the key itself stays
//! here, and the organisation's name is put in its place.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, StatusCode};
use policy::stable_hash;
use resources::{KeyDigest, Name, Organisation, OrganisationIndex, Priority, Route};

use crate::headers::HeaderNames;

/// Longest key that is looked up, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Who makes a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    /// Nothing where nobody asks.
    organisation: Option<Arc<Organisation>>,
    /// The key that it showed.
    key: Option<KeyDigest>,
    /// Hash of the organisation's name, also of one that no document lists.
    pub(crate) hash: u64,
}

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// It shows no key where one is needed.
    NoKey,
    /// Nobody holds the key.
    UnknownKey,
    /// It shows several keys.
    SeveralKeys,
    /// What it shows can be no key.
    Malformed,
}

impl Denied {
    /// The answer's status.
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

    /// What the caller is told.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::NoKey => "no key: send the API key of your organisation\n",
            Self::UnknownKey => "unknown key: ask your operator for a valid one\n",
            Self::SeveralKeys => "several keys: send one\n",
            Self::Malformed => "malformed key: send its text as it was given to you\n",
        }
    }

    /// Whether a newer configuration may let the caller in.
    pub(crate) fn depends_on_configuration(self) -> bool {
        matches!(self, Self::NoKey | Self::UnknownKey)
    }
}

impl Caller {
    /// Finds out who makes a request of a route.
    pub(crate) fn of(
        organisations: &OrganisationIndex,
        route: &Route,
        names: &HeaderNames,
        headers: &HeaderMap,
    ) -> Result<Self, Denied> {
        if !organisations.require_keys() {
            return Ok(Self::by_name(organisations, names, headers));
        }
        let key = match key_of(names, headers) {
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

    /// Where access is open callers say who they are.
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

    /// Relative share under overload.
    pub(crate) fn weight(&self) -> u32 {
        self.organisation.as_ref().map_or(1, |it| it.weight)
    }

    /// Regions whose endpoints may serve it; empty for all.
    pub(crate) fn regions(&self) -> &[Name] {
        self.organisation.as_ref().map_or(&[], |it| &it.regions)
    }

    /// Which of its work goes first, if that does not depend on the route.
    pub(crate) fn priority(&self) -> Option<Priority> {
        self.organisation.as_ref()?.priority
    }

    /// Whether it may make a limited number of requests.
    pub(crate) fn is_limited(&self) -> bool {
        self.organisation.as_ref().is_some_and(|it| it.allowance().is_some())
    }

    /// Whether its key is still held by the same organisation. Nothing is sent under a key that was taken away.
    pub(crate) fn is_known_to(&self, organisations: &OrganisationIndex) -> bool {
        let Some(key) = self.key else { return true };
        organisations.by_key(key).is_some_and(|it| it.name == self.name())
    }

    /// Puts the organisation's name in place of what the caller has written.
    pub(crate) fn introduce(
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

/// The key that a request shows.
fn key_of(names: &HeaderNames, headers: &HeaderMap) -> Result<KeyDigest, Denied> {
    let mut shown = headers.get_all(&names.api_key).iter();
    let Some(key) = shown.next() else { return Err(Denied::NoKey) };
    if shown.next().is_some() {
        return Err(Denied::SeveralKeys);
    }
    match key.as_bytes() {
        [] => Err(Denied::NoKey),
        it if it.len() > MAX_KEY_BYTES || !it.is_ascii() => Err(Denied::Malformed),
        it => Ok(KeyDigest::of(it)),
    }
}
