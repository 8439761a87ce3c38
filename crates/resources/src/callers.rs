//! Organisations by the keys of their callers, compiled for look-up.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::{Access, KeyDigest, Name, Organisation};

/// Look-up of organisations. It costs one digest and one hash probe, whatever their number.
#[derive(Debug, Default)]
pub struct Callers {
    access: Access,
    organisations: Vec<Arc<Organisation>>,
    by_name: FxHashMap<Name, u32>,
    /// Positions by the first bytes of a key's digest; one that meets another stands at the next free place.
    by_key: FxHashMap<u64, u32>,
}

impl Callers {
    /// An empty table for this way of access.
    pub(crate) fn new(access: Access) -> Self {
        Self { access, ..Self::default() }
    }

    /// Whether callers must show a key.
    pub fn need_keys(&self) -> bool {
        self.access == Access::Keys
    }

    /// The organisation that holds a key.
    pub fn by_key(&self, key: KeyDigest) -> Option<&Arc<Organisation>> {
        let mut at = key.prefix();
        loop {
            let it = &self.organisations[*self.by_key.get(&at)? as usize];
            // Digests are compared without leaving early.
            if it.keys.contains(&key) {
                return Some(it);
            }
            at = at.wrapping_add(1);
        }
    }

    /// An organisation by its name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name).map(|i| &self.organisations[*i as usize])
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    pub(crate) fn insert(&mut self, organisation: Arc<Organisation>) {
        let i = self.organisations.len() as u32;
        for key in &organisation.keys {
            let mut at = key.prefix();
            while self.by_key.contains_key(&at) {
                at = at.wrapping_add(1);
            }
            self.by_key.insert(at, i);
        }
        self.by_name.insert(organisation.name.clone(), i);
        self.organisations.push(organisation);
    }
}
