//! Running requests by key, cancelled when their key is withdrawn.

use azurenotch_config::snapshot::KeyHash;
use azurenotch_wire::Map;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Running requests by the key that they carried.
#[derive(Debug, Clone, Default)]
pub struct RunningRequests {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    keys: Map<KeyHash, Map<u64, CancellationToken>>,
}

/// A registered running request, which is removed when this value is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    table: Arc<Mutex<Table>>,
    key: KeyHash,
    number: u64,
    token: CancellationToken,
}

impl RunningRequests {
    /// Registers a running request.
    pub fn begin(&self, key: KeyHash) -> RunningRequest {
        let token = CancellationToken::new();
        let mut table = self.table.lock();
        table.next += 1;
        let number = table.next;
        let running = table.keys.entry(key).or_default();
        running.insert(number, token.clone());
        RunningRequest {
            table: Arc::clone(&self.table),
            key,
            number,
            token,
        }
    }

    /// Cancels the running requests of keys that are no longer valid and returns their number.
    pub fn withdraw(&self, is_valid: impl Fn(&KeyHash) -> bool) -> usize {
        let table = self.table.lock();
        let ended = table.keys.iter().filter(|(key, _)| !is_valid(key));
        ended
            .flat_map(|(_, running)| running.values())
            .map(CancellationToken::cancel)
            .count()
    }
}

impl RunningRequest {
    /// Returns the token that is cancelled when the key is withdrawn.
    pub fn token(&self) -> &CancellationToken {
        &self.token
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut table = self.table.lock();
        if let Some(running) = table.keys.get_mut(&self.key) {
            running.remove(&self.number);
            if running.is_empty() {
                table.keys.remove(&self.key);
            }
        }
    }
}
