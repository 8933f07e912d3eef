//! Access control: maps a request to its route and workspace.

use azurenotch_config::{
    document::{Access as Mode, Route},
    snapshot::{KeyHash, Snapshot},
};
use azurenotch_wire::{
    Map,
    id::{Route as RouteName, Workspace},
    refusal::{Reason, Refusal},
};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Length of the hash prefix by which keys are looked up before the constant-time comparison.
const INDEX_BYTES: usize = 8;

/// Result of an access decision.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Routes and keys of one configuration version, indexed for fast look-ups.
#[derive(Debug, Default)]
pub struct Access {
    /// Routes, longest prefix first.
    routes: Vec<(RouteName, Arc<Route>)>,
    keys: Map<[u8; INDEX_BYTES], Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    hash: KeyHash,
    workspace: Workspace,
    withdrawn: bool,
}

/// Route and workspace under which a request was admitted.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Name of the route.
    pub name: RouteName,
    /// The route.
    pub route: Arc<Route>,
    /// Workspace and key; `None` on an open route.
    pub holder: Option<Holder>,
}

/// Workspace that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The workspace.
    pub workspace: Workspace,
    /// Hash of the key, used to end the request when the key is withdrawn.
    pub key: KeyHash,
}

impl Access {
    /// Indexes the routes and keys of a snapshot.
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut routes = snapshot
            .document
            .routes
            .iter()
            .map(|(name, route)| (name.clone(), Arc::new(route.clone())))
            .collect::<Vec<_>>();
        routes.sort_by_key(|(_, route)| std::cmp::Reverse(route.prefix.len()));
        let mut keys = Map::<_, Vec<Entry>>::default();
        for (hash, key) in &snapshot.keys {
            keys.entry(index_prefix(hash)).or_default().push(Entry {
                hash: *hash,
                workspace: key.workspace.clone(),
                withdrawn: key.withdrawn,
            });
        }
        Self { routes, keys }
    }

    /// Returns the route and workspace of a request.
    ///
    /// `authorization` is the value of the caller's `authorization` header.
    ///
    /// # Errors
    ///
    /// Returns a refusal with outcome `not-run` if no route matches, or if the route requires a key
    /// and the key is missing, unknown or withdrawn.
    pub fn admit(&self, method: &str, path: &str, authorization: Option<&[u8]>) -> Result<Grant> {
        let (name, route) = self
            .routes
            .iter()
            .find(|(_, route)| matches(route, method, path))
            .ok_or(Refusal::not_run(Reason::NoRoute))?;
        let holder = match route.access {
            Mode::Open => None,
            Mode::Keyed => Some(self.holder(authorization)?),
        };
        Ok(Grant {
            name: name.clone(),
            route: Arc::clone(route),
            holder,
        })
    }

    /// Returns whether a key exists and is not withdrawn.
    pub fn is_valid(&self, hash: &KeyHash) -> bool {
        self.find(hash).is_some_and(|entry| !entry.withdrawn)
    }

    fn holder(&self, authorization: Option<&[u8]>) -> Result<Holder> {
        let key = authorization
            .and_then(bearer)
            .ok_or(Refusal::not_run(Reason::NoKey))?;
        let hash = KeyHash::of(key);
        match self.find(&hash) {
            None => Err(Refusal::not_run(Reason::BadKey)),
            Some(entry) if entry.withdrawn => Err(Refusal::not_run(Reason::Withdrawn)),
            Some(entry) => Ok(Holder {
                workspace: entry.workspace.clone(),
                key: hash,
            }),
        }
    }

    fn find(&self, hash: &KeyHash) -> Option<&Entry> {
        let candidates = self.keys.get(&index_prefix(hash))?;
        candidates
            .iter()
            .find(|entry| bool::from(entry.hash.0.ct_eq(&hash.0)))
    }
}

fn index_prefix(hash: &KeyHash) -> [u8; INDEX_BYTES] {
    let mut bytes = [0; INDEX_BYTES];
    bytes.copy_from_slice(&hash.0[..INDEX_BYTES]);
    bytes
}

fn bearer(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked("Bearer ".len())?;
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !key.is_empty()).then_some(key)
}

/// Returns whether the route matches the method and path.
///
/// A prefix ends at a segment boundary: `/a` does not match `/ab`.
fn matches(route: &Route, method: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(route.prefix.as_str()) else {
        return false;
    };
    let at_boundary = rest.is_empty() || rest.starts_with('/') || route.prefix.ends_with('/');
    at_boundary && route.methods.iter().any(|known| known == method)
}

#[cfg(test)]
mod tests;
