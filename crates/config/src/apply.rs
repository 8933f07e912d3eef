//! Applies changes to a snapshot.

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

/// Most keys, granted and withdrawn, so that the snapshot stays bounded.
const KEYS: usize = 1_000_000;

/// Longest note of a version move in bytes; the rest is cut off.
const NOTE_BYTES: usize = 1024;

/// Latest deadline of a version move.
const DEADLINE: Duration = Duration::from_hours(30 * 24);

impl Snapshot {
    /// Returns the snapshot that follows this one when `change` is accepted at `now`.
    ///
    /// The version's number is one higher; the epoch is the same.
    ///
    /// * **Versions of services.** The document's `version` is the initial one: it takes effect
    ///   when the service first appears and is kept in `releases`. Only a finished move replaces
    ///   it. A later document must repeat the version of the document before or name the version
    ///   in force, so it can neither undo a move nor change the version without one. The version
    ///   in force and both versions of a running move must keep a backend server.
    /// * **Keys** of a workspace that the document no longer has are withdrawn for good; all
    ///   others stay. Withdrawing a withdrawn key has no further effect.
    /// * **Drains** of backend servers that no longer exist are dropped.
    /// * **Moves.** At most one runs per service. Its share never goes down; `EndMove` takes it
    ///   back. States other than running are final.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is refused.
    pub fn apply(&self, change: &Change, now: Stamp) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Apply { text, expect } => next.replace(text, *expect)?,
            Change::GrantKey {
                hash,
                workspace,
                name,
            } => next.grant(*hash, workspace, name)?,
            Change::WithdrawKey { workspace, name } => next.withdraw(workspace, name)?,
            Change::Drain { server, draining } => next.drain(server, *draining)?,
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
                let running = next.running_serial(service, *serial)?;
                let least = running.share;
                let share = *share;
                ensure!((least..=1.0).contains(&share), ShareSnafu { share, least });
                running.share = share;
                running.note = cut(note);
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

    fn replace(&mut self, text: &str, expect: Version) -> Result<()> {
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
        for (service, asked) in &document.services {
            let Some(in_force) = self.release(service) else {
                continue;
            };
            let before = self.document.services.get(service);
            ensure!(
                asked == in_force || Some(asked) == before,
                VersionChangeSnafu {
                    service: service.clone(),
                    in_force: in_force.clone(),
                    asked: asked.clone()
                }
            );
            has_server(document, service, in_force)?;
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
                has_server(document, &service, &running.from)?;
                has_server(document, &service, &running.to)?;
            }
        }
        Ok(())
    }

    fn grant(&mut self, hash: KeyHash, workspace: &Workspace, name: &str) -> Result<()> {
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
        ensure!(self.keys.len() < KEYS, TooManyKeysSnafu { limit: KEYS });
        let key = Key {
            workspace: workspace.clone(),
            name: name.to_owned(),
            withdrawn: false,
        };
        self.keys.insert(hash, key);
        Ok(())
    }

    fn withdraw(&mut self, workspace: &Workspace, name: &str) -> Result<()> {
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

    fn drain(&mut self, server: &Server, draining: bool) -> Result<()> {
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
        has_server(&self.document, service, to)?;
        let limit = DEADLINE;
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

    /// Returns the number of the next move of a service, unless one is running.
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
        let running = self.running(service)?;
        running.state = MoveState::Cancelled;
        running.share = 0.0;
        "cancelled by an operator".clone_into(&mut running.note);
        Ok(())
    }

    fn end_move(&mut self, service: &Service, serial: u64, done: bool, note: &str) -> Result<()> {
        let running = self.running_serial(service, serial)?;
        running.note = cut(note);
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

    fn running(&mut self, service: &Service) -> Result<&mut Move> {
        let known = self.document.services.contains_key(service);
        ensure!(
            known,
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

    fn running_serial(&mut self, service: &Service, serial: u64) -> Result<&mut Move> {
        let last = self.running(service)?;
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

fn has_server(document: &Document, service: &Service, release: &Release) -> Result<()> {
    ensure!(
        document.has_server(service.as_str(), release),
        NoServerSnafu {
            service: service.clone(),
            release: release.clone()
        }
    );
    Ok(())
}

/// Returns a note that is short enough to be stored.
fn cut(note: &str) -> String {
    note[..note.floor_char_boundary(NOTE_BYTES)].to_owned()
}
