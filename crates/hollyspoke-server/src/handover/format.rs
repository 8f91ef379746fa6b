//! Encoding and decoding of snapshot requests and snapshots between boxes.
//!
//! As with datagrams, the first format has no version and must not change. Later fields are encoded
//! in an extended format. It begins with a mark with which the first format can't begin, followed
//! by the version and by numbered, optional fields; the first of them holds the same content in the
//! first format. A box uses the extended format only in requests to boxes that have announced that
//! they can read it, and is answered in the format of its request.

use std::time::Duration;

use bincode::Options;
use eyre::{WrapErr, bail, ensure};
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::message::Format;
use hollyspoke_gateway::route::{Operations, Service};
use hollyspoke_gateway::snapshot::{Listing, Snapshot, SnapshotRequest};
use minicbor::{Decode, Encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::datagram::{DepartureField, EXTENDED_FORMAT_MARK, non_empty_list, put, put_mut};
use crate::software::VersionsField;

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
    /// The optional operations that the engines of services support.
    #[n(4)]
    operations: Option<Vec<OperationsField>>,
    /// The versions of the engines that the listing adds, in its order.
    #[n(5)]
    versions: Option<VersionsField>,
}

/// The optional operations that the engines of a service support.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct OperationsField {
    /// The name of the service.
    #[n(0)]
    service: String,
    /// The longest time for which an engine reserves memory, in milliseconds; none if it doesn't.
    #[n(1)]
    max_reservation_ms: Option<u32>,
    /// Whether running streams can be moved to another engine; no if missing.
    #[n(2)]
    can_migrate: Option<bool>,
    /// Whether running streams can be backed up at another engine; no if missing.
    #[n(3)]
    can_back_up: Option<bool>,
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
    let services = snapshot.configuration.iter().flat_map(|it| &it.services);
    let operations = non_empty_list(services.filter_map(OperationsField::of).collect());
    let versions = snapshot.listing.as_ref().and_then(|it| VersionsField::of(engines(it)));
    write_extended(&ExtendedSnapshot {
        first,
        departures,
        engines_era,
        evacuation_era,
        operations,
        versions,
    })
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
    if let (Some(versions), Some(listing)) = (&extended.versions, &mut snapshot.listing) {
        versions.apply(engines_mut(listing));
    }
    snapshot.evacuation.revision.era = extended.evacuation_era.unwrap_or_default();
    if let Some(configuration) = &mut snapshot.configuration {
        for supported in extended.operations.iter().flatten() {
            supported.apply(&mut configuration.services);
        }
    }
    Ok(snapshot)
}

/// Iterates over the engines that a listing adds or changes.
fn engines(listing: &Listing) -> Box<dyn Iterator<Item = &Engine> + '_> {
    match listing {
        Listing::Whole { engines, .. } => Box::new(engines.iter()),
        Listing::Changes { changes, .. } => Box::new(put(changes)),
    }
}

/// Iterates over the same engines for modification.
fn engines_mut(listing: &mut Listing) -> Box<dyn Iterator<Item = &mut Engine> + '_> {
    match listing {
        Listing::Whole { engines, .. } => Box::new(engines.iter_mut()),
        Listing::Changes { changes, .. } => Box::new(put_mut(changes)),
    }
}

impl OperationsField {
    /// Encodes the operations of a service; none if it has no stages or its engines support none.
    fn of(service: &Service) -> Option<OperationsField> {
        let operations = service.staged?.operations;
        let max_reservation = operations.max_reservation;
        (operations != Operations::default()).then(|| OperationsField {
            service: service.name.to_string(),
            max_reservation_ms: max_reservation
                .map(|it| u32::try_from(it.as_millis()).unwrap_or(u32::MAX)),
            can_migrate: operations.can_migrate.then_some(true),
            can_back_up: operations.can_back_up.then_some(true),
        })
    }

    /// Sets the operations of the service that they belong to.
    fn apply(&self, services: &mut [Service]) {
        let max_reservation = self.max_reservation_ms;
        let operations = Operations {
            max_reservation: max_reservation.map(|it| Duration::from_millis(u64::from(it))),
            can_migrate: self.can_migrate.unwrap_or_default(),
            can_back_up: self.can_back_up.unwrap_or_default(),
        };
        let service = services.iter_mut().find(|it| *it.name == *self.service);
        if let Some(staged) = service.and_then(|it| it.staged.as_mut()) {
            staged.operations = operations;
        }
    }
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
