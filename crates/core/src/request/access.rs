//! Maps a request to its route and workspace.

use azurenotch_config::{
    document::{Access as Mode, Route},
    snapshot::{KeyHash, Snapshot},
};
use azurenotch_wire::{
    Map,
    id::{Route as Name, Workspace},
    refusal::{Reason, Refusal},
};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Bytes of a key's hash by which candidates are found before the constant-time comparison.
const INDEX_BYTES: usize = 8;

/// Result of an access decision.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Routes and keys of one configuration version, prepared for one decision per request.
#[derive(Debug, Default)]
pub struct Access {
    /// Routes with the longest prefix first.
    routes: Vec<(Name, Arc<Route>)>,
    keys: Map<[u8; INDEX_BYTES], Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    hash: KeyHash,
    workspace: Workspace,
    withdrawn: bool,
}

/// Route and workspace of an admitted request.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Name of the route.
    pub name: Name,
    /// The route.
    pub route: Arc<Route>,
    /// Workspace and key of a keyed request; `None` on an open route.
    pub holder: Option<Holder>,
}

/// Workspace that a key stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The workspace.
    pub workspace: Workspace,
    /// Hash of the key, to end the request when the key is withdrawn.
    pub key: KeyHash,
}

impl Access {
    /// Prepares the routes and keys of a snapshot.
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
            keys.entry(index(hash)).or_default().push(Entry {
                hash: *hash,
                workspace: key.workspace.clone(),
                withdrawn: key.withdrawn,
            });
        }
        Self { routes, keys }
    }

    /// Decides for which route and workspace a request runs.
    ///
    /// `authorization` is the value of the caller's `authorization` header.
    ///
    /// # Errors
    ///
    /// Returns a refusal with outcome `not-run` if no route matches or the key is missing,
    /// unknown or withdrawn.
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

    /// Returns whether a key is known and not withdrawn.
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
        let candidates = self.keys.get(&index(hash))?;
        candidates
            .iter()
            .find(|entry| bool::from(entry.hash.0.ct_eq(&hash.0)))
    }
}

fn index(hash: &KeyHash) -> [u8; INDEX_BYTES] {
    let mut bytes = [0; INDEX_BYTES];
    bytes.copy_from_slice(&hash.0[..INDEX_BYTES]);
    bytes
}

fn bearer(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked("Bearer ".len())?;
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !key.is_empty()).then_some(key)
}

/// Returns whether the prefix matches up to a segment border, so that `/a` does not match `/ab`.
fn matches(route: &Route, method: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(route.prefix.as_str()) else {
        return false;
    };
    let at_border = rest.is_empty() || rest.starts_with('/') || route.prefix.ends_with('/');
    at_border && route.methods.iter().any(|known| known == method)
}

#[cfg(test)]
mod tests;
