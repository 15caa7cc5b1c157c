//! The part of the replicated state that gateways have a copy of.
//!
//! Control replicas and gateways apply equivalent [`Command`]s in the same order: a
//! gateway may get a `PatchCatalog` in place of a `PutCatalog`. All copies at an
//! index of the log are therefore equal, except that a gateway's catalog lacks its
//! `document`. A refused command changes none of them.

mod command;
mod error;

use std::{collections, sync};

use serde::{Deserialize, Serialize};

use super::{
    catalog, evacuation, key,
    memory::{self, Item},
    persistent, raft, record, suspect,
};

pub use self::{
    command::{Command, Presence, Target},
    error::Error,
};

/// Records, catalog, keys, targets, memory and suspects at one index of the log.
///
/// The maps are persistent data structures: a clone shares its unchanged parts with
/// the original, so a gateway applies a change without copying the whole view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    #[serde(deserialize_with = "persistent::deserialize")]
    records: imbl::OrdMap<record::Id, record::Record>,
    #[serde(deserialize_with = "persistent::deserialize")]
    keys: imbl::OrdMap<String, key::Key>,
    #[serde(deserialize_with = "persistent::deserialize")]
    targets: imbl::OrdMap<String, Target>,
    memory_allocations: memory::Ledger,
    suspects: suspect::Suspects,
    catalog: Option<sync::Arc<catalog::Catalog>>,
    /// Not part of the encoding, which earlier builds read.
    #[serde(skip)]
    evacuations: evacuation::Evacuations,
}

impl View {
    /// Applies the command at `index` of the log. `at` is the time in ms that the
    /// leader wrote into the entry.
    ///
    /// # Errors
    ///
    /// Returns why the command was refused. The view is then unchanged.
    pub fn apply(&mut self, index: raft::Index, at: u64, command: &Command) -> Result<(), Error> {
        match command {
            Command::PutRecords(records) => self.put_records(records)?,
            Command::PutCatalog(catalog) => self.put_catalog(catalog)?,
            Command::PatchCatalog(patch) => self.patch_catalog(patch)?,
            Command::GrantKey { id, digest, scope } => self.grant_key(id, *digest, scope)?,
            Command::WithdrawKey { id } => self.withdraw_key(id)?,
            Command::AnnounceTarget { name, target, resident } => {
                self.announce_target(name, target, resident);
            }
            Command::MarkLeaving { name } => self.mark_leaving(name)?,
            Command::MarkDown { name, incarnation } => self.mark_down(name, *incarnation)?,
            Command::RemoveTarget { name, incarnation } => {
                self.remove_target(name, *incarnation)?;
            }
            Command::Order { target, incarnation, verb, item, memory } => {
                self.check_incarnation(target, *incarnation)?;
                match verb {
                    memory::Verb::Load => {
                        self.memory_allocations.load(target, item, *memory, index)
                    }
                    memory::Verb::Unload => self.memory_allocations.unload(target, item, index),
                }?;
            }
            Command::Acknowledge { target, incarnation, item, fence, ack } => {
                self.check_incarnation(target, *incarnation)?;
                let checks_fencing = self.target_class(target).checks_fencing;
                self.memory_allocations.acknowledge(target, item, *fence, *ack, checks_fencing);
            }
            Command::Drain { target, item, draining: true } => {
                self.memory_allocations.drain(target, item)?;
            }
            Command::Drain { target, item, draining: false } => {
                self.memory_allocations.resume(target, item)?;
            }
            Command::ReportMissing { target, incarnation, item } => {
                self.check_incarnation(target, *incarnation)?;
                self.memory_allocations.mark_missing(target, item);
            }
            Command::RecordCrash { fingerprint, exclusive } => {
                self.suspects.record_crash(*fingerprint, *exclusive, at);
            }
            Command::ReserveTarget { fingerprint, target } => {
                if !self.suspects.reserve_target(*fingerprint, target, at) {
                    return Err(Error::TargetReserved { target: target.clone() });
                }
            }
            Command::ClearSuspect { fingerprint } => self.suspects.clear(*fingerprint),
            Command::ExpireSuspects => self.suspects.expire(at),
        }
        Ok(())
    }

    /// Returns all records, including removed ones, which have no body.
    pub fn records(&self) -> impl Iterator<Item = &record::Record> {
        self.records.values()
    }

    /// Returns the body of a record, or `None` if it is missing or removed.
    #[must_use]
    pub fn body(&self, kind: record::Kind, name: &str) -> Option<&record::Body> {
        let id = record::Id { kind, name: name.to_owned() };
        self.records.get(&id)?.body.as_ref()
    }

    /// Returns a record, which may be a removed one.
    #[must_use]
    pub fn record(&self, id: &record::Id) -> Option<&record::Record> {
        self.records.get(id)
    }

    /// Returns the model record with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&record::Model> {
        match self.body(record::Kind::Model, name)? {
            record::Body::Model(m) => Some(m),
            _ => None,
        }
    }

    /// Returns the adapter record with this name.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<&record::Adapter> {
        match self.body(record::Kind::Adapter, name)? {
            record::Body::Adapter(a) => Some(a),
            _ => None,
        }
    }

    /// Returns the workspace record with this name. A workspace of the catalog has
    /// none.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&record::Workspace> {
        match self.body(record::Kind::Workspace, name)? {
            record::Body::Workspace(w) => Some(w),
            _ => None,
        }
    }

    /// Returns the route records with their names.
    pub fn routes(&self) -> impl Iterator<Item = (&str, &record::Route)> {
        self.records.values().filter_map(|r| match &r.body {
            Some(record::Body::Route(route)) => Some((r.name.as_str(), route)),
            _ => None,
        })
    }

    /// Returns the model records with their names.
    pub fn models(&self) -> impl Iterator<Item = (&str, &record::Model)> {
        self.records.values().filter_map(|r| match &r.body {
            Some(record::Body::Model(m)) => Some((r.name.as_str(), m)),
            _ => None,
        })
    }

    /// Returns the adapter records with their names.
    pub fn adapters(&self) -> impl Iterator<Item = (&str, &record::Adapter)> {
        self.records.values().filter_map(|r| match &r.body {
            Some(record::Body::Adapter(a)) => Some((r.name.as_str(), a)),
            _ => None,
        })
    }

    /// Returns the limits of the weight store from the first store record by name, or
    /// the defaults.
    #[must_use]
    pub fn weight_store(&self) -> record::Store {
        let found = self.records.values().find_map(|r| match &r.body {
            Some(record::Body::Store(s)) => Some(*s),
            _ => None,
        });
        found.unwrap_or_default()
    }

    /// Returns the scheduler settings of the first policy record by name, or the
    /// defaults.
    #[must_use]
    pub fn policy(&self) -> record::Policy {
        let found = self.records.values().find_map(|r| match &r.body {
            Some(record::Body::Policy(p)) => Some(*p),
            _ => None,
        });
        found.unwrap_or_default()
    }

    /// Returns the class of a target. Without a class record, a target is assumed not
    /// to check fencing tokens.
    #[must_use]
    pub fn target_class(&self, target: &str) -> record::Class {
        let class = self.targets.get(target).and_then(|t| {
            match self.body(record::Kind::Class, &t.class)? {
                record::Body::Class(c) => Some(*c),
                _ => None,
            }
        });
        class.unwrap_or_default()
    }

    /// Returns the targets by name.
    #[must_use]
    pub fn targets(&self) -> &imbl::OrdMap<String, Target> {
        &self.targets
    }

    /// Returns the memory allocated to items on each target.
    #[must_use]
    pub fn memory_allocations(&self) -> &memory::Ledger {
        &self.memory_allocations
    }

    /// Returns the failure domains being evacuated.
    #[must_use]
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.evacuations
    }

    /// Returns the failure domains being evacuated, to change them.
    pub(crate) fn evacuations_mut(&mut self) -> &mut evacuation::Evacuations {
        &mut self.evacuations
    }

    /// Returns a copy with another catalog.
    #[must_use]
    pub fn with_catalog(&self, catalog: Option<sync::Arc<catalog::Catalog>>) -> Self {
        Self { catalog, ..self.clone() }
    }

    /// Returns the catalog in force, or `None` before the first one.
    #[must_use]
    pub fn catalog(&self) -> Option<&sync::Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }

    pub(super) fn set_catalog(&mut self, catalog: sync::Arc<catalog::Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Returns the rate limit of a workspace as (rate, burst), in tokens per second and
    /// tokens, or in requests if the limit counts requests. A record takes precedence
    /// over the catalog.
    #[must_use]
    pub fn rate_limit(&self, workspace: &str) -> Option<(u64, u64)> {
        if let Some(record) = self.workspace(workspace) {
            return Some((record.rate, record.burst));
        }
        let rate_limit = self.catalog.as_ref()?.workspace(workspace)?.rate_limit?;
        Some((rate_limit.rate, rate_limit.burst))
    }

    /// Returns the requests that are suspected of crashing targets.
    #[must_use]
    pub fn suspects(&self) -> &suspect::Suspects {
        &self.suspects
    }

    /// Returns all keys by id, including withdrawn ones.
    pub fn keys(&self) -> impl Iterator<Item = (&String, &key::Key)> {
        self.keys.iter()
    }

    /// Returns the scope of a valid key.
    ///
    /// Returns `None` if the key is unknown, withdrawn or has the wrong secret, or if it
    /// is restricted to a workspace that has no record.
    #[must_use]
    pub fn authorize(&self, credentials: &key::Presented) -> Option<&key::Scope> {
        let key = self.keys.get(&credentials.id)?;
        let valid = key.digest.matches(&credentials.digest) && !key.withdrawn;
        let scope_exists = match &key.scope {
            key::Scope::Caller(w) | key::Scope::Workspace(w) => self.workspace(w).is_some(),
            key::Scope::System => true,
        };
        (valid && scope_exists).then_some(&key.scope)
    }

    /// Checks whether a batch of records would be accepted.
    ///
    /// # Errors
    ///
    /// Returns why it would be refused.
    pub fn check_records(&self, records: &[record::Record]) -> Result<(), Error> {
        self.merge(records).map(|_| ())
    }

    fn put_catalog(&mut self, new: &sync::Arc<catalog::Catalog>) -> Result<(), Error> {
        new.check().map_err(|source| Error::InvalidCatalog { source })?;
        if self.catalog.as_ref().is_none_or(|existing| existing.version < new.version) {
            self.catalog = Some(new.clone());
        }
        Ok(())
    }

    fn patch_catalog(&mut self, patch: &catalog::patch::Patch) -> Result<(), Error> {
        let patched = self.catalog.as_ref().and_then(|existing| patch.apply(existing));
        self.put_catalog(&sync::Arc::new(patched.ok_or(Error::CatalogMismatch)?))
    }

    fn put_records(&mut self, records: &[record::Record]) -> Result<(), Error> {
        self.records = self.merge(records)?;
        Ok(())
    }

    fn merge(
        &self,
        records: &[record::Record],
    ) -> Result<imbl::OrdMap<record::Id, record::Record>, Error> {
        let mut merged = self.records.clone();
        for new in records {
            let id = new.id();
            if let Some(existing) = merged.get(&id) {
                if existing == new {
                    continue;
                }
                check_supersedes(&id, existing, new)?;
            }
            merged.insert(id, new.clone());
        }
        check_references(&merged)?;
        Ok(merged)
    }

    fn grant_key(
        &mut self,
        id: &str,
        digest: key::SecretDigest,
        scope: &key::Scope,
    ) -> Result<(), Error> {
        if let Some(key) = self.keys.get(id) {
            if key.withdrawn {
                return Err(Error::KeyWithdrawn { id: id.into() });
            }
            if key.digest != digest || key.scope != *scope {
                return Err(Error::KeyTaken { id: id.into() });
            }
            return Ok(());
        }
        if let key::Scope::Caller(workspace) | key::Scope::Workspace(workspace) = scope
            && self.workspace(workspace).is_none()
        {
            return Err(Error::NoWorkspace { workspace: workspace.clone() });
        }
        let key = key::Key { digest, scope: scope.clone(), withdrawn: false };
        self.keys.insert(id.to_owned(), key);
        Ok(())
    }

    fn withdraw_key(&mut self, id: &str) -> Result<(), Error> {
        let is_valid_system_key = |k: &key::Key| k.scope == key::Scope::System && !k.withdrawn;
        let system_keys = self.keys.values().filter(|k| is_valid_system_key(k)).count();
        let Some(key) = self.keys.get_mut(id) else {
            return Err(Error::KeyUnknown { id: id.into() });
        };
        if is_valid_system_key(key) && system_keys == 1 {
            return Err(Error::LastSystemKey { id: id.into() });
        }
        key.withdrawn = true;
        Ok(())
    }

    fn announce_target(&mut self, name: &str, target: &Target, resident: &[(Item, u64)]) {
        let existing = self.targets.get(name);
        if existing.is_some_and(|t| t.incarnation > target.incarnation) {
            return;
        }
        if existing.is_none_or(|t| t.incarnation < target.incarnation) {
            self.memory_allocations.add_target(name, target.memory, resident);
        }
        // A leaving target stays leaving until it starts again, even if an older
        // announcement arrives late.
        let leaving = existing.is_some_and(|t| {
            t.incarnation == target.incarnation && t.presence == Presence::Leaving
        });
        let presence = if leaving { Presence::Leaving } else { target.presence };
        self.targets.insert(name.to_owned(), Target { presence, ..target.clone() });
    }

    fn mark_leaving(&mut self, name: &str) -> Result<(), Error> {
        let Some(target) = self.targets.get_mut(name) else {
            return Err(Error::TargetUnknown { name: name.into() });
        };
        target.presence = Presence::Leaving;
        Ok(())
    }

    fn mark_down(&mut self, name: &str, incarnation: u64) -> Result<(), Error> {
        self.check_incarnation(name, incarnation)?;
        if let Some(target) = self.targets.get_mut(name)
            && target.presence == Presence::Up
        {
            target.presence = Presence::Down;
        }
        Ok(())
    }

    /// Removes a target. Has no effect while it is up or an order to it is pending.
    fn remove_target(&mut self, name: &str, incarnation: u64) -> Result<(), Error> {
        self.check_incarnation(name, incarnation)?;
        let not_up = self.targets.get(name).is_some_and(|t| t.presence != Presence::Up);
        if not_up && self.memory_allocations.remove_target(name) {
            self.targets.remove(name);
        }
        Ok(())
    }

    fn check_incarnation(&self, name: &str, incarnation: u64) -> Result<(), Error> {
        match self.targets.get(name) {
            Some(target) if target.incarnation == incarnation => Ok(()),
            _ => Err(Error::IncarnationMismatch { name: name.into(), incarnation }),
        }
    }
}

fn check_supersedes(
    id: &record::Id,
    existing: &record::Record,
    new: &record::Record,
) -> Result<(), Error> {
    if new.version < existing.version {
        return Err(Error::VersionStale {
            id: id.clone(),
            held: existing.version,
            given: new.version,
        });
    }
    if new.version == existing.version {
        return Err(Error::VersionConflict {
            id: id.clone(),
            version: existing.version,
            held: existing.digest(),
            given: new.digest(),
        });
    }
    Ok(())
}

fn check_references(records: &imbl::OrdMap<record::Id, record::Record>) -> Result<(), Error> {
    let require = |kind, name: &str| {
        let id = record::Id { kind, name: name.to_owned() };
        let exists = records.get(&id).is_some_and(|r| r.body.is_some());
        if exists { Ok(()) } else { Err(id) }
    };
    let mut paths = collections::BTreeMap::new();
    for (id, record) in records {
        match &record.body {
            Some(record::Body::Adapter(adapter)) => {
                require(record::Kind::Model, &adapter.base_model)
                    .map_err(|missing| Error::MissingReference { id: id.clone(), missing })?;
            }
            Some(record::Body::Route(route)) => {
                if let Some(other) = paths.insert(&route.path, id) {
                    let (id, other, path) = (id.clone(), other.clone(), route.path.clone());
                    return Err(Error::SamePath { id, other, path });
                }
            }
            _ => {}
        }
    }
    Ok(())
}
