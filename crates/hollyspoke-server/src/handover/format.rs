//! How handovers between boxes are written and read.
//!
//! As with datagrams, the first format stays as it is, without a version; what came later is written
//! behind a mark that the first one can't begin with: the version, and numbered, optional fields, of
//! which the first holds the same in the first format. A box asks in the later format only another one
//! that has told that it reads it, and is answered in the format in which it asked.

use bincode::Options;
use eyre::{WrapErr, bail, ensure};
use hollyspoke_gateway::message::Format;
use hollyspoke_gateway::snapshot::{Snapshot, SnapshotRequest};
use minicbor::{Decode, Encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::datagram::{DepartureField, MARK, filled};

/// The version that this box writes.
const VERSION: u8 = 1;

/// A question in the later format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct LaterQuestion {
    /// The question in the first format.
    #[cbor(n(0), with = "minicbor::bytes")]
    first: Vec<u8>,
    /// The era of the engines that the asking box knows; 0 if it is missing.
    #[n(1)]
    engines_era: Option<u64>,
}

/// A snapshot in the later format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct LaterSnapshot {
    /// The snapshot in the first format.
    #[cbor(n(0), with = "minicbor::bytes")]
    first: Vec<u8>,
    /// Engines that are about to leave.
    #[n(1)]
    departures: Option<Vec<DepartureField>>,
    /// The era of the engines; 0 if it is missing.
    #[n(2)]
    engines_era: Option<u64>,
    /// The era of the evacuations; 0 if it is missing.
    #[n(3)]
    evacuation_era: Option<u64>,
}

/// A question, and the format in which it is to be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    /// The question.
    pub question: SnapshotRequest,
    /// The format.
    pub format: Format,
}

/// Writes a question for a box that can read a format.
///
/// # Errors
///
/// If it can't be written.
pub fn write_question(question: &SnapshotRequest, format: Format) -> eyre::Result<Vec<u8>> {
    let first = write_first(question)?;
    if format < Format::Handovers {
        return Ok(first);
    }
    let engines_era = question.revision.map(|it| it.era).filter(|it| *it > 0);
    write_later(&LaterQuestion { first, engines_era })
}

/// Reads a question.
///
/// # Errors
///
/// If it is in no format that is known.
pub fn read_question(bytes: &[u8]) -> eyre::Result<Asked> {
    let Some(fields) = later_fields(bytes)? else {
        return Ok(Asked { question: read_first(bytes)?, format: Format::First });
    };
    let later: LaterQuestion = minicbor::decode(fields).wrap_err("a field can't be read")?;
    let mut question: SnapshotRequest = read_first(&later.first)?;
    let era = later.engines_era.unwrap_or_default();
    question.revision = question.revision.map(|it| it.in_era(era));
    Ok(Asked { question, format: Format::Handovers })
}

/// Writes a snapshot in a format.
///
/// # Errors
///
/// If it can't be written.
pub fn write_snapshot(snapshot: &Snapshot, format: Format) -> eyre::Result<Vec<u8>> {
    let first = write_first(snapshot)?;
    if format < Format::Handovers {
        return Ok(first);
    }
    let departures = filled(snapshot.departures.iter().map(DepartureField::of).collect());
    let told = |era: u64| (era > 0).then_some(era);
    let engines_era = snapshot.listing.as_ref().and_then(|it| told(it.revision().era));
    let evacuation_era = told(snapshot.evacuation.revision.era);
    write_later(&LaterSnapshot { first, departures, engines_era, evacuation_era })
}

/// Reads a snapshot.
///
/// # Errors
///
/// If it is in no format that is known.
pub fn read_snapshot(bytes: &[u8]) -> eyre::Result<Snapshot> {
    let Some(fields) = later_fields(bytes)? else { return read_first(bytes) };
    let later: LaterSnapshot = minicbor::decode(fields).wrap_err("a field can't be read")?;
    let mut snapshot: Snapshot = read_first(&later.first)?;
    snapshot.departures = later.departures.iter().flatten().map(DepartureField::word).collect();
    let engines_era = later.engines_era.unwrap_or_default();
    snapshot.listing = snapshot.listing.map(|it| it.in_era(engines_era));
    snapshot.evacuation.revision.era = later.evacuation_era.unwrap_or_default();
    Ok(snapshot)
}

/// Gives the numbered fields, if the bytes are in the later format.
fn later_fields(bytes: &[u8]) -> eyre::Result<Option<&[u8]>> {
    let Some((&MARK, rest)) = bytes.split_first() else { return Ok(None) };
    let Some((&version, fields)) = rest.split_first() else { bail!("no version") };
    ensure!(version >= VERSION, "no such version: {version}");
    Ok(Some(fields))
}

/// Writes numbered fields behind the mark and the version.
fn write_later(fields: &impl Encode<()>) -> eyre::Result<Vec<u8>> {
    let mut bytes = vec![MARK, VERSION];
    minicbor::encode(fields, &mut bytes).wrap_err("a field can't be written")?;
    Ok(bytes)
}

/// Writes the first format.
fn write_first(value: &impl Serialize) -> eyre::Result<Vec<u8>> {
    Ok(bincode::DefaultOptions::new().serialize(value)?)
}

/// Reads the first format.
fn read_first<T: DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    Ok(bincode::DefaultOptions::new().deserialize(bytes)?)
}
