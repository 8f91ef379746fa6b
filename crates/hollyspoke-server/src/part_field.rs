//! Encoding and decoding of the cases of prompts' parts in datagrams.

use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::quarantine::{
    Announcement, Crash, Crashes, MAX_PART_CRASHES, NamedAnnouncement, Proof,
};
use hollyspoke_gateway::signature::Signature;
use hollyspoke_gateway::version::VersionKey;
use minicbor::{Decode, Encode};

/// The case of a part.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
pub(crate) struct PartField {
    /// The signature of the part.
    #[cbor(n(0), with = "minicbor::bytes")]
    signature: [u8; Signature::LENGTH_BYTES],
    /// The epoch of the case; 0 if missing.
    #[n(1)]
    epoch: Option<u32>,
    /// The crashes; none if missing.
    #[n(2)]
    crashes: Option<Vec<CrashField>>,
    /// When the last crash was counted, in seconds of Unix time; 0 if missing.
    #[n(3)]
    at: Option<u64>,
    /// The name of the part, if known.
    #[n(4)]
    name: Option<String>,
    /// The hashes of the names of the software versions that crashed; none if missing.
    #[n(5)]
    versions: Option<Vec<u64>>,
}

/// A crash of an engine.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct CrashField {
    /// The slot of the crash.
    #[n(0)]
    slot: u8,
    /// The key of the engine.
    #[n(1)]
    engine: u64,
    /// The start time of the incarnation that crashed, in milliseconds of Unix time.
    #[n(2)]
    born: Option<u64>,
    /// Whether the crash is proven; likely if not or if missing.
    #[n(3)]
    is_proven: Option<bool>,
}

impl PartField {
    /// Encodes an announced case.
    pub(crate) fn of(announcement: &NamedAnnouncement) -> PartField {
        let Announcement { signature, epoch, crashes, at } = announcement.case;
        let slots = crashes.iter().enumerate();
        let crashes: Vec<_> =
            slots.filter_map(|(slot, it)| CrashField::of(slot, it.as_ref()?)).collect();
        let versions: Vec<_> = announcement.versions.iter().map(|it| it.0).collect();
        let name = announcement.name.as_ref().map(|it| it.to_string());
        PartField {
            signature: signature.bytes(),
            epoch: (epoch > 0).then_some(epoch),
            crashes: Some(crashes).filter(|it| !it.is_empty()),
            at: (at > 0).then_some(at),
            name,
            versions: Some(versions).filter(|it| !it.is_empty()),
        }
    }

    /// Decodes an announced case; `None` if a crash has a slot that doesn't exist.
    pub(crate) fn announcement(&self) -> Option<NamedAnnouncement> {
        let mut crashes: Crashes<MAX_PART_CRASHES> = [None; MAX_PART_CRASHES];
        for crash in self.crashes.iter().flatten() {
            *crashes.get_mut(usize::from(crash.slot))? = Some(crash.crash());
        }
        let case = Announcement {
            signature: Signature::from_bytes(self.signature),
            epoch: self.epoch.unwrap_or_default(),
            crashes,
            at: self.at.unwrap_or_default(),
        };
        let versions = self.versions.iter().flatten().map(|it| VersionKey(*it)).collect();
        Some(NamedAnnouncement { case, name: self.name.as_deref().map(Into::into), versions })
    }
}

impl CrashField {
    /// Encodes the crash in a slot.
    fn of(slot: usize, crash: &Crash) -> Option<CrashField> {
        let &Crash { engine, born, proof } = crash;
        let slot = u8::try_from(slot).ok()?;
        let is_proven = (proof == Proof::Proven).then_some(true);
        Some(CrashField { slot, engine: engine.0, born, is_proven })
    }

    /// Decodes a crash.
    fn crash(&self) -> Crash {
        let is_proven = self.is_proven.unwrap_or_default();
        let proof = if is_proven { Proof::Proven } else { Proof::Likely };
        Crash { engine: EngineKey(self.engine), born: self.born, proof }
    }
}
