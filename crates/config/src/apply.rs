//! Validates changes and applies them to a snapshot.

use crate::{
    change::{
        Change, ConflictSnafu, DeadlineSnafu, DocumentSnafu, Error, KeyHashUsedSnafu, KeyNameSnafu,
        KeyNameUsedSnafu, MoveRunningSnafu, MovingSnafu, NoServerSnafu, Result, SameVersionSnafu,
        ShareSnafu, TooManyKeysSnafu, UnknownServerSnafu, UnknownServiceSnafu,
        UnknownWorkspaceSnafu, VersionChangeSnafu, WrongSerialSnafu,
    },
    document::Document,
    snapshot::{Key, KeyHash, Move, MoveState, Snapshot},
    value,
};
use azurenotch_wire::{
    id::{Release, Server, Service, Workspace},
    time::Stamp,
    version::Version,
};
use snafu::{ResultExt, ensure};
use std::time::Duration;

/// Maximum number of granted and withdrawn keys; bounds the size of the snapshot.
const MAX_KEYS: usize = 1_000_000;

/// Maximum length of a version move's note; longer notes are truncated.
const MAX_NOTE_BYTES: usize = 1024;

/// Maximum deadline of a version move.
const MAX_MOVE_DEADLINE: Duration = Duration::from_hours(30 * 24);

impl Snapshot {
    /// Returns the snapshot that results from applying `change` at time `now`.
    ///
    /// The version number of the result is one higher; its epoch is the same.
    ///
    /// * **Versions of services.** The document's `version` is the initial version: it takes
    ///   effect when the service first appears and is stored in `releases`. Only a finished move
    ///   replaces it. A later document must repeat the version of the previous document or state
    ///   the version in force, so it can neither undo a move nor change the version without one.
    ///   The version in force and both versions of a running move each need a backend server.
    /// * **Keys** of a workspace that is removed from the document are withdrawn permanently; all
    ///   other keys are kept. Withdrawing a withdrawn key has no further effect.
    /// * **Drains** of backend servers that are removed from the document are deleted.
    /// * **Moves.** At most one move runs per service. Its share never decreases, except that
    ///   `CancelMove` and an unsuccessful `EndMove` reset it to 0. All states other than running
    ///   are final.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the change is refused.
    pub fn apply(&self, change: &Change, now: Stamp) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Apply { text, expect } => next.replace_document(text, *expect)?,
            Change::GrantKey {
                hash,
                workspace,
                name,
            } => next.grant_key(*hash, workspace, name)?,
            Change::WithdrawKey { workspace, name } => next.withdraw_key(workspace, name)?,
            Change::Drain { server, draining } => next.set_draining(server, *draining)?,
            Change::StartMove {
                service,
                to,
                deadline,
            } => {
                next.start_move(service, to, *deadline, now)?;
            }
            Change::CancelMove { service } => next.cancel_move(service)?,
            Change::ShareMove {
                service,
                serial,
                share,
                note,
            } => {
                let running = next.running_move_with_serial(service, *serial)?;
                let min = running.share;
                let share = *share;
                ensure!((min..=1.0).contains(&share), ShareSnafu { share, min });
                running.share = share;
                running.note = truncate_note(note);
            }
            Change::EndMove {
                service,
                serial,
                done,
                note,
            } => {
                next.end_move(service, *serial, *done, note)?;
            }
        }
        next.version.number += 1;
        Ok(next)
    }

    fn replace_document(&mut self, text: &str, expect: Version) -> Result<()> {
        let current = self.version;
        ensure!(expect == current, ConflictSnafu { current });
        let document = Document::parse(text).context(DocumentSnafu)?;
        self.check_versions(&document)?;
        self.check_moves(&document)?;
        for (service, initial) in &document.services {
            if !self.releases.contains_key(service) {
                let release = self.release(service).unwrap_or(initial).clone();
                self.releases.insert(service.clone(), release);
            }
        }
        self.releases
            .retain(|service, _| document.services.contains_key(service));
        self.drains
            .retain(|server| document.servers.contains_key(server));
        for key in self.keys.values_mut() {
            key.withdrawn |= !document.workspaces.contains_key(&key.workspace);
        }
        self.document = document;
        text.clone_into(&mut self.source);
        Ok(())
    }

    fn check_versions(&self, document: &Document) -> Result<()> {
        for (service, requested) in &document.services {
            let Some(in_force) = self.release(service) else {
                continue;
            };
            let before = self.document.services.get(service);
            ensure!(
                requested == in_force || Some(requested) == before,
                VersionChangeSnafu {
                    service: service.clone(),
                    in_force: in_force.clone(),
                    requested: requested.clone()
                }
            );
            ensure_server(document, service, in_force)?;
        }
        Ok(())
    }

    fn check_moves(&self, document: &Document) -> Result<()> {
        for (service, running) in &self.moves {
            if running.state == MoveState::Running {
                let service = service.clone();
                ensure!(
                    document.services.contains_key(&service),
                    MovingSnafu { service }
                );
                ensure_server(document, &service, &running.from)?;
                ensure_server(document, &service, &running.to)?;
            }
        }
        Ok(())
    }

    fn grant_key(&mut self, hash: KeyHash, workspace: &Workspace, name: &str) -> Result<()> {
        ensure!(value::is_name(name), KeyNameSnafu);
        ensure!(
            self.document.workspaces.contains_key(workspace),
            UnknownWorkspaceSnafu {
                workspace: workspace.clone()
            }
        );
        ensure!(!self.keys.contains_key(&hash), KeyHashUsedSnafu);
        ensure!(
            !self
                .keys
                .values()
                .any(|key| key.workspace == *workspace && key.name == name),
            KeyNameUsedSnafu {
                workspace: workspace.clone(),
                name
            }
        );
        ensure!(
            self.keys.len() < MAX_KEYS,
            TooManyKeysSnafu { limit: MAX_KEYS }
        );
        let key = Key {
            workspace: workspace.clone(),
            name: name.to_owned(),
            withdrawn: false,
        };
        self.keys.insert(hash, key);
        Ok(())
    }

    fn withdraw_key(&mut self, workspace: &Workspace, name: &str) -> Result<()> {
        let key = self
            .keys
            .values_mut()
            .find(|key| key.workspace == *workspace && key.name == name)
            .ok_or_else(|| Error::UnknownKey {
                workspace: workspace.clone(),
                name: name.to_owned(),
            })?;
        key.withdrawn = true;
        Ok(())
    }

    fn set_draining(&mut self, server: &Server, draining: bool) -> Result<()> {
        ensure!(
            self.document.servers.contains_key(server),
            UnknownServerSnafu {
                server: server.clone()
            }
        );
        if draining {
            self.drains.insert(server.clone());
        } else {
            self.drains.remove(server);
        }
        Ok(())
    }

    fn start_move(
        &mut self,
        service: &Service,
        to: &Release,
        deadline: Duration,
        now: Stamp,
    ) -> Result<()> {
        let from = self
            .release(service)
            .cloned()
            .ok_or_else(|| Error::UnknownService {
                service: service.clone(),
            })?;
        let serial = self.next_serial(service)?;
        let release = to.clone();
        ensure!(
            from != *to,
            SameVersionSnafu {
                service: service.clone(),
                release
            }
        );
        ensure_server(&self.document, service, to)?;
        let limit = MAX_MOVE_DEADLINE;
        ensure!(
            (Duration::from_secs(1)..=limit).contains(&deadline),
            DeadlineSnafu { limit }
        );
        let started = Move {
            serial,
            from,
            to: to.clone(),
            started: now,
            deadline,
            share: 0.0,
            state: MoveState::Running,
            note: String::new(),
        };
        self.moves.insert(service.clone(), started);
        Ok(())
    }

    /// Returns the serial of the next move of a service; fails if a move is running.
    fn next_serial(&self, service: &Service) -> Result<u64> {
        let Some(last) = self.moves.get(service) else {
            return Ok(1);
        };
        let (service, serial) = (service.clone(), last.serial);
        ensure!(
            last.state != MoveState::Running,
            MoveRunningSnafu { service, serial }
        );
        Ok(serial + 1)
    }

    fn cancel_move(&mut self, service: &Service) -> Result<()> {
        let running = self.running_move(service)?;
        running.state = MoveState::Cancelled;
        running.share = 0.0;
        "cancelled by an operator".clone_into(&mut running.note);
        Ok(())
    }

    fn end_move(&mut self, service: &Service, serial: u64, done: bool, note: &str) -> Result<()> {
        let running = self.running_move_with_serial(service, serial)?;
        running.note = truncate_note(note);
        if done {
            running.state = MoveState::Done;
            running.share = 1.0;
            let release = running.to.clone();
            self.releases.insert(service.clone(), release);
        } else {
            running.state = MoveState::TakenBack;
            running.share = 0.0;
        }
        Ok(())
    }

    fn running_move(&mut self, service: &Service) -> Result<&mut Move> {
        let exists = self.document.services.contains_key(service);
        ensure!(
            exists,
            UnknownServiceSnafu {
                service: service.clone()
            }
        );
        self.moves
            .get_mut(service)
            .filter(|last| last.state == MoveState::Running)
            .ok_or_else(|| Error::NoMove {
                service: service.clone(),
            })
    }

    fn running_move_with_serial(&mut self, service: &Service, serial: u64) -> Result<&mut Move> {
        let last = self.running_move(service)?;
        let running = last.serial;
        ensure!(
            running == serial,
            WrongSerialSnafu {
                service: service.clone(),
                serial,
                running
            }
        );
        Ok(last)
    }
}

fn ensure_server(document: &Document, service: &Service, release: &Release) -> Result<()> {
    ensure!(
        document.has_server(service.as_str(), release),
        NoServerSnafu {
            service: service.clone(),
            release: release.clone()
        }
    );
    Ok(())
}

/// Truncates a note to [`MAX_NOTE_BYTES`] at a character boundary.
fn truncate_note(note: &str) -> String {
    note[..note.floor_char_boundary(MAX_NOTE_BYTES)].to_owned()
}
