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

use crate::datagram::{DepartureField, EXTENDED_FORMAT_MARK, non_empty_list};

/// The version that this box writes.
const EXTENDED_FORMAT_VERSION: u8 = 1;

/// A question in the later format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ExtendedRequest {
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
struct ExtendedSnapshot {
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
pub struct ReceivedSnapshotRequest {
    /// The question.
    pub request: SnapshotRequest,
    /// The format.
    pub format: Format,
}

/// Writes a question for a box that can read a format.
///
/// # Errors
///
/// If it can't be written.
pub fn write_request(request: &SnapshotRequest, format: Format) -> eyre::Result<Vec<u8>> {
    let first = write_first(request)?;
    if format < Format::Handovers {
        return Ok(first);
    }
    let engines_era = request.revision.map(|it| it.era).filter(|it| *it > 0);
    write_extended(&ExtendedRequest { first, engines_era })
}

/// Reads a question.
///
/// # Errors
///
/// If it is in no format that is known.
pub fn read_request(bytes: &[u8]) -> eyre::Result<ReceivedSnapshotRequest> {
    let Some(fields) = extended_fields(bytes)? else {
        return Ok(ReceivedSnapshotRequest { request: read_first(bytes)?, format: Format::First });
    };
    let extended: ExtendedRequest = minicbor::decode(fields).wrap_err("a field can't be read")?;
    let mut request: SnapshotRequest = read_first(&extended.first)?;
    let era = extended.engines_era.unwrap_or_default();
    request.revision = request.revision.map(|it| it.in_era(era));
    Ok(ReceivedSnapshotRequest { request, format: Format::Handovers })
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
    let departures = non_empty_list(snapshot.departures.iter().map(DepartureField::of).collect());
    let non_zero = |era: u64| (era > 0).then_some(era);
    let engines_era = snapshot.listing.as_ref().and_then(|it| non_zero(it.revision().era));
    let evacuation_era = non_zero(snapshot.evacuation.revision.era);
    write_extended(&ExtendedSnapshot { first, departures, engines_era, evacuation_era })
}

/// Reads a snapshot.
///
/// # Errors
///
/// If it is in no format that is known.
pub fn read_snapshot(bytes: &[u8]) -> eyre::Result<Snapshot> {
    let Some(fields) = extended_fields(bytes)? else { return read_first(bytes) };
    let extended: ExtendedSnapshot = minicbor::decode(fields).wrap_err("a field can't be read")?;
    let mut snapshot: Snapshot = read_first(&extended.first)?;
    snapshot.departures =
        extended.departures.iter().flatten().map(DepartureField::announcement).collect();
    let engines_era = extended.engines_era.unwrap_or_default();
    snapshot.listing = snapshot.listing.map(|it| it.in_era(engines_era));
    snapshot.evacuation.revision.era = extended.evacuation_era.unwrap_or_default();
    Ok(snapshot)
}

/// Gives the numbered fields, if the bytes are in the later format.
fn extended_fields(bytes: &[u8]) -> eyre::Result<Option<&[u8]>> {
    let Some((&EXTENDED_FORMAT_MARK, rest)) = bytes.split_first() else { return Ok(None) };
    let Some((&version, fields)) = rest.split_first() else { bail!("no version") };
    ensure!(version >= EXTENDED_FORMAT_VERSION, "no such version: {version}");
    Ok(Some(fields))
}

/// Writes numbered fields behind the mark and the version.
fn write_extended(fields: &impl Encode<()>) -> eyre::Result<Vec<u8>> {
    let mut bytes = vec![EXTENDED_FORMAT_MARK, EXTENDED_FORMAT_VERSION];
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
