//! The software versions of a list of engines, as boxes tell them each other.

use std::sync::Arc;

use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::version::SoftwareVersion;
use minicbor::{Decode, Encode};

/// The versions of some engines. A site has few versions and many engines, so that the names are
/// listed once.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
pub(crate) struct VersionsField {
    /// The names.
    #[n(0)]
    names: Vec<String>,
    /// For each engine the place of its version's name; none if the version isn't known.
    #[n(1)]
    places: Vec<Option<u16>>,
}

impl VersionsField {
    /// Encodes the versions of engines; none if no version is known.
    pub(crate) fn of<'a>(engines: impl Iterator<Item = &'a Engine>) -> Option<VersionsField> {
        let mut field = VersionsField { names: Vec::new(), places: Vec::new() };
        for engine in engines {
            let place = engine.version.as_ref().and_then(|it| field.place(it));
            field.places.push(place);
        }
        (!field.names.is_empty()).then_some(field)
    }

    /// Returns the place of a version's name, which is added if it is new; none if there are too many.
    fn place(&mut self, version: &SoftwareVersion) -> Option<u16> {
        let place = self.names.iter().position(|it| it == version.name()).unwrap_or_else(|| {
            self.names.push(version.name().to_owned());
            self.names.len() - 1
        });
        u16::try_from(place).ok()
    }

    /// Sets the versions of the same engines.
    pub(crate) fn apply<'a>(&self, engines: impl Iterator<Item = &'a mut Engine>) {
        let names: Vec<Arc<str>> = self.names.iter().map(|it| it.as_str().into()).collect();
        for (engine, place) in engines.zip(&self.places) {
            let name = place.and_then(|it| names.get(usize::from(it)));
            engine.version = name.map(|it| SoftwareVersion::new(it.clone()));
        }
    }
}
