//! Fields that were added to messages after version 3 of the format.
//!
//! They follow the frame as tagged sections. Earlier builds do not read what follows a
//! frame, and a section with an unknown tag is left out, so that no version has to be agreed
//! on for them. A message without such fields has no sections.

use std::{slice, time};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{BUILD, Body, Builds, Call, Gossip, Reply, version};
use crate::{
    request::limit::prefill::Prefill,
    version::{difference, directory::AnnouncedTarget, raft, supplement::Supplement, traffic},
};

/// Versions that the sender of a [`Hello`](super::Hello) speaks.
const VERSIONS: u32 = 1;

/// [`TrafficFields`] of a message with a traffic report.
const TRAFFIC: u32 = 2;

/// Name of the build of the sender of a [`Hello`](super::Hello).
const BUILD_NAME: u32 = 3;

/// [`Builds`] in a [`Status`](super::Status).
const BUILDS: u32 = 4;

/// [`TargetFields`] of a message with announcements.
const TARGETS: u32 = 5;

/// In a sync call, the log index of the supplement that the gateway has; in the reply, the
/// [`Supplement`] if it has changed since.
const SETTINGS: u32 = 6;

/// How fast targets are, in a message with traffic.
const PACES: u32 = 7;

/// In a sync call, the [`difference::Position`] of the sums that the gateway has; in the reply,
/// [`difference::Loads`].
const DIFFERENCE: u32 = 8;

/// [`Prefill`] in a call for a place.
const URGENCY: u32 = 9;

/// Fields of one kind, encoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Section {
    tag: u32,
    data: Vec<u8>,
}

/// Fields of a [`traffic::Report`].
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TrafficFields {
    placed: Vec<PlacedLoad>,
    brittle_services: Vec<traffic::BrittleService>,
    leaving: Vec<traffic::LeavingTarget>,
}

/// Requests with a place, of the load with this index in the report.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlacedLoad {
    load: u32,
    placed: Vec<traffic::Placed>,
}

/// Fields of the announcements in a message.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TargetFields {
    cold: Vec<ColdTarget>,
}

/// How long the target with this index in the message stays cold.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ColdTarget {
    target: u32,
    left: time::Duration,
}

/// Returns the sections of a message.
pub(super) fn of(body: &Body) -> Result<Vec<Section>, postcard::Error> {
    let mut sections = Vec::new();
    if let Body::Hello(_) = body {
        sections.push(encode(VERSIONS, &version::Range::OWN)?);
        sections.push(encode(BUILD_NAME, &BUILD)?);
    }
    if let Body::Reply { reply: Reply::Status(status), .. } = body
        && let Some(builds) = &status.builds
    {
        sections.push(encode(BUILDS, builds)?);
    }
    if let Some(report) = report(body) {
        let fields = TrafficFields::from(report);
        if fields != TrafficFields::default() {
            sections.push(encode(TRAFFIC, &fields)?);
        }
    }
    if let Some(paces) = paces(body).filter(|paces| !paces.is_empty()) {
        sections.push(encode(PACES, paces)?);
    }
    let targets = TargetFields::from(targets(body));
    if targets != TargetFields::default() {
        sections.push(encode(TARGETS, &targets)?);
    }
    match body {
        Body::Call { call: Call::Sync(request), .. } if request.supplemented_at > 0 => {
            sections.push(encode(SETTINGS, &request.supplemented_at)?);
        }
        Body::Call { call: Call::RequestPlace(request), .. } => {
            let prefill = request.prefill.as_ref().map(|p| encode(URGENCY, p)).transpose()?;
            sections.extend(prefill);
        }
        Body::Reply { reply: Reply::Sync(reply), .. } => {
            let supplement = reply.supplement.as_ref().map(|s| encode(SETTINGS, s)).transpose()?;
            sections.extend(supplement);
        }
        _ => {}
    }
    sections.extend(difference_of(body)?);
    Ok(sections)
}

/// Adds the fields in the sections that belong to a message to it.
pub(super) fn apply(body: &mut Body, sections: &[Section]) -> Result<(), postcard::Error> {
    if let Some(report) = report_mut(body)
        && let Some(fields) = decode::<TrafficFields>(sections, TRAFFIC)?
    {
        fields.apply(report);
    }
    if let Some(paces) = paces_mut(body) {
        *paces = decode::<Vec<traffic::Pace>>(sections, PACES)?.unwrap_or_default();
    }
    if let Some(fields) = decode::<TargetFields>(sections, TARGETS)? {
        fields.apply(targets_mut(body));
    }
    match body {
        Body::Reply { reply: Reply::Status(status), .. } => {
            status.builds = decode::<Builds>(sections, BUILDS)?;
        }
        Body::Call { call: Call::Sync(request), .. } => {
            let known = decode::<raft::Index>(sections, SETTINGS)?;
            request.supplemented_at = known.unwrap_or_default();
        }
        Body::Call { call: Call::RequestPlace(request), .. } => {
            request.prefill = decode::<Prefill>(sections, URGENCY)?;
        }
        Body::Reply { reply: Reply::Sync(reply), .. } => {
            reply.supplement = decode::<Supplement>(sections, SETTINGS)?;
        }
        _ => {}
    }
    apply_difference(body, sections)
}

fn difference_of(body: &Body) -> Result<Option<Section>, postcard::Error> {
    match body {
        Body::Call { call: Call::Sync(request), .. } => {
            request.known_loads.as_ref().map(|known| encode(DIFFERENCE, known)).transpose()
        }
        Body::Reply { reply: Reply::Sync(reply), .. } => {
            reply.loads.as_ref().map(|loads| encode(DIFFERENCE, loads)).transpose()
        }
        _ => Ok(None),
    }
}

fn apply_difference(body: &mut Body, sections: &[Section]) -> Result<(), postcard::Error> {
    match body {
        Body::Call { call: Call::Sync(request), .. } => {
            request.known_loads = decode::<difference::Position>(sections, DIFFERENCE)?;
        }
        Body::Reply { reply: Reply::Sync(reply), .. } => {
            reply.loads = decode::<difference::Loads>(sections, DIFFERENCE)?;
        }
        _ => {}
    }
    Ok(())
}

/// Returns the versions that the sender of a hello speaks, if it names a range.
pub(super) fn versions(sections: &[Section]) -> Result<Option<version::Range>, postcard::Error> {
    decode(sections, VERSIONS)
}

/// Returns the name of the build of the sender of a hello, if it states one.
pub(super) fn build(sections: &[Section]) -> Result<Option<String>, postcard::Error> {
    decode(sections, BUILD_NAME)
}

fn encode<T: Serialize>(tag: u32, fields: &T) -> Result<Section, postcard::Error> {
    Ok(Section { tag, data: postcard::to_stdvec(fields)? })
}

fn decode<T: DeserializeOwned>(
    sections: &[Section],
    tag: u32,
) -> Result<Option<T>, postcard::Error> {
    let section = sections.iter().find(|s| s.tag == tag);
    section.map(|s| postcard::from_bytes(&s.data)).transpose()
}

fn report(body: &Body) -> Option<&traffic::Report> {
    match body {
        Body::Call { call: Call::Sync(request), .. } => Some(&request.report),
        Body::Reply { reply: Reply::Sync(reply), .. } => Some(&reply.report),
        Body::Gossip { gossip: Gossip::Traffic(report), .. } => Some(report),
        _ => None,
    }
}

fn report_mut(body: &mut Body) -> Option<&mut traffic::Report> {
    match body {
        Body::Call { call: Call::Sync(request), .. } => Some(&mut request.report),
        Body::Reply { reply: Reply::Sync(reply), .. } => Some(&mut reply.report),
        Body::Gossip { gossip: Gossip::Traffic(report), .. } => Some(report),
        _ => None,
    }
}

/// Returns the speeds of targets in a message with traffic.
fn paces(body: &Body) -> Option<&Vec<traffic::Pace>> {
    match body {
        Body::Gossip { gossip: Gossip::TrafficDifference(gossip), .. } => Some(&gossip.paces),
        _ => report(body).map(|report| &report.paces),
    }
}

fn paces_mut(body: &mut Body) -> Option<&mut Vec<traffic::Pace>> {
    match body {
        Body::Gossip { gossip: Gossip::TrafficDifference(gossip), .. } => Some(&mut gossip.paces),
        _ => report_mut(body).map(|report| &mut report.paces),
    }
}

/// Returns the announcements in a message.
fn targets(body: &Body) -> &[AnnouncedTarget] {
    match body {
        Body::Reply { reply: Reply::Sync(reply), .. } => &reply.changed_targets,
        Body::Gossip { gossip: Gossip::TargetAnnounced(target), .. } => slice::from_ref(target),
        _ => &[],
    }
}

fn targets_mut(body: &mut Body) -> &mut [AnnouncedTarget] {
    match body {
        Body::Reply { reply: Reply::Sync(reply), .. } => &mut reply.changed_targets,
        Body::Gossip { gossip: Gossip::TargetAnnounced(target), .. } => slice::from_mut(target),
        _ => &mut [],
    }
}

impl From<&[AnnouncedTarget]> for TargetFields {
    fn from(targets: &[AnnouncedTarget]) -> Self {
        let cold = targets.iter().zip(0..).filter(|(target, _)| !target.cold_left.is_zero());
        Self { cold: cold.map(|(t, target)| ColdTarget { target, left: t.cold_left }).collect() }
    }
}

impl TargetFields {
    fn apply(self, targets: &mut [AnnouncedTarget]) {
        for ColdTarget { target, left } in self.cold {
            let target = usize::try_from(target).ok().and_then(|index| targets.get_mut(index));
            if let Some(target) = target {
                target.cold_left = left;
            }
        }
    }
}

impl From<&traffic::Report> for TrafficFields {
    fn from(report: &traffic::Report) -> Self {
        let loads = report.loads.iter().zip(0..).filter(|(load, _)| !load.placed.is_empty());
        let placed = loads.map(|(l, load)| PlacedLoad { load, placed: l.placed.clone() });
        Self {
            placed: placed.collect(),
            brittle_services: report.brittle_services.clone(),
            leaving: report.leaving.clone(),
        }
    }
}

impl TrafficFields {
    fn apply(self, report: &mut traffic::Report) {
        for PlacedLoad { load, placed } in self.placed {
            let load = usize::try_from(load).ok().and_then(|index| report.loads.get_mut(index));
            if let Some(load) = load {
                load.placed = placed;
            }
        }
        report.brittle_services = self.brittle_services;
        report.leaving = self.leaving;
    }
}
