//! Index of organisations by name and by API key.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::{Access, KeyDigest, Name, Organisation};

/// Index of organisations. A look-up by key costs one digest and usually one hash probe, regardless of the number of
/// organisations.
#[derive(Debug, Default)]
pub struct OrganisationIndex {
    access: Access,
    organisations: Vec<Arc<Organisation>>,
    by_name: FxHashMap<Name, u32>,
    /// Indices of organisations by the first bytes of a key's digest. A colliding key is stored at the next free value.
    by_key: FxHashMap<u64, u32>,
}

impl OrganisationIndex {
    /// Creates an empty index.
    pub(crate) fn new(access: Access) -> Self {
        Self { access, ..Self::default() }
    }

    /// Whether callers must send an API key.
    pub fn require_keys(&self) -> bool {
        self.access == Access::Keys
    }

    /// Returns the organisation that holds a key.
    pub fn by_key(&self, key: KeyDigest) -> Option<&Arc<Organisation>> {
        let mut prefix = key.prefix();
        loop {
            let it = &self.organisations[*self.by_key.get(&prefix)? as usize];
            // Comparing two digests takes constant time.
            if it.keys.contains(&key) {
                return Some(it);
            }
            prefix = prefix.wrapping_add(1);
        }
    }

    /// Returns the organisation with this name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name).map(|i| &self.organisations[*i as usize])
    }

    /// Iterates over all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    pub(crate) fn insert(&mut self, organisation: Arc<Organisation>) {
        let i = self.organisations.len() as u32;
        for key in &organisation.keys {
            let mut prefix = key.prefix();
            while self.by_key.contains_key(&prefix) {
                prefix = prefix.wrapping_add(1);
            }
            self.by_key.insert(prefix, i);
        }
        self.by_name.insert(organisation.name.clone(), i);
        self.organisations.push(organisation);
    }
}
