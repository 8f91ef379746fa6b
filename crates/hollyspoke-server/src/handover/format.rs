//! Encoding and decoding of snapshot requests and snapshots between boxes.
//!
//! As with datagrams, the first format has no version and must not change. Later fields are encoded
//! in an extended format. It begins with a mark with which the first format can't begin, followed
//! by the version and by numbered, optional fields; the first of them holds the same content in the
//! first format. A box uses the extended format only in requests to boxes that have announced that
//! they can read it, and is answered in the format of its request.

use bincode::Options;
use eyre::{WrapErr, bail, ensure};
use hollyspoke_gateway::message::Format;
use hollyspoke_gateway::snapshot::{Snapshot, SnapshotRequest};
use minicbor::{Decode, Encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::datagram::{DepartureField, EXTENDED_FORMAT_MARK, non_empty_list};

/// The version of the extended format that this box writes.
const EXTENDED_FORMAT_VERSION: u8 = 1;

/// A snapshot request in the extended format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ExtendedRequest {
    /// The request in the first format.
    #[cbor(n(0), with = "minicbor::bytes")]
    first: Vec<u8>,
    /// The era of the engines that the requesting box knows; 0 if missing.
    #[n(1)]
    engines_era: Option<u64>,
}

/// A snapshot in the extended format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ExtendedSnapshot {
    /// The snapshot in the first format.
    #[cbor(n(0), with = "minicbor::bytes")]
    first: Vec<u8>,
    /// Engines that are shutting down.
    #[n(1)]
    departures: Option<Vec<DepartureField>>,
    /// The era of the engines; 0 if missing.
    #[n(2)]
    engines_era: Option<u64>,
    /// The era of the evacuations; 0 if missing.
    #[n(3)]
    evacuation_era: Option<u64>,
}

/// A decoded request, and the format in which to answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedSnapshotRequest {
    /// The request.
    pub request: SnapshotRequest,
    /// The format of the request and of its answer.
    pub format: Format,
}

/// Encodes a request in a format that its receiver can read.
///
/// # Errors
///
/// If it can't be encoded.
pub fn write_request(request: &SnapshotRequest, format: Format) -> eyre::Result<Vec<u8>> {
    let first = write_first(request)?;
    if format < Format::Handovers {
        return Ok(first);
    }
    let engines_era = request.revision.map(|it| it.era).filter(|it| *it > 0);
    write_extended(&ExtendedRequest { first, engines_era })
}

/// Decodes a request.
///
/// # Errors
///
/// If its format is unknown or its content is malformed.
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

/// Encodes a snapshot in a format.
///
/// # Errors
///
/// If it can't be encoded.
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

/// Decodes a snapshot.
///
/// # Errors
///
/// If its format is unknown or its content is malformed.
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

/// Returns the bytes of the numbered fields; none if the bytes are in the first format.
fn extended_fields(bytes: &[u8]) -> eyre::Result<Option<&[u8]>> {
    let Some((&EXTENDED_FORMAT_MARK, rest)) = bytes.split_first() else { return Ok(None) };
    let Some((&version, fields)) = rest.split_first() else { bail!("no version") };
    ensure!(version >= EXTENDED_FORMAT_VERSION, "no such version: {version}");
    Ok(Some(fields))
}

/// Encodes the mark, the version and the numbered fields.
fn write_extended(fields: &impl Encode<()>) -> eyre::Result<Vec<u8>> {
    let mut bytes = vec![EXTENDED_FORMAT_MARK, EXTENDED_FORMAT_VERSION];
    minicbor::encode(fields, &mut bytes).wrap_err("a field can't be written")?;
    Ok(bytes)
}

/// Encodes a value in the first format.
fn write_first(value: &impl Serialize) -> eyre::Result<Vec<u8>> {
    Ok(bincode::DefaultOptions::new().serialize(value)?)
}

/// Decodes a value in the first format.
fn read_first<T: DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    Ok(bincode::DefaultOptions::new().deserialize(bytes)?)
}
