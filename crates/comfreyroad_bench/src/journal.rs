//! What upstreams have executed, as they say themselves.

use indexmap::IndexMap;
use serde::Deserialize;

use crate::{AttemptId, RequestId, VersionId, VmId};

/// Journal of one upstream; engines have no bookings, plain services no requests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Journal {
    /// Name of the VM.
    pub id: VmId,
    /// How often each request got a slot of an engine.
    pub requests: IndexMap<RequestId, u32>,
    /// Requests that got a slot, by version.
    pub versions: IndexMap<VersionId, u64>,
    /// Tokens given, by version.
    pub tokens: IndexMap<VersionId, u64>,
    /// Attempts by which each booking was executed.
    pub bookings: IndexMap<RequestId, Vec<AttemptId>>,
    /// Calls that would book for no request.
    #[serde(rename = "strays")]
    pub unidentified: u64,
    /// Lookups executed.
    pub lookups: u64,
    /// Answers left by their caller.
    pub cancelled: u64,
    /// Requests refused as more than it bears.
    pub refused: u64,
    /// How often it fell over.
    #[serde(rename = "falls")]
    pub crashes: u64,
}

/// Journals of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// One each, by VM.
    pub by_vm: IndexMap<VmId, Journal>,
}

impl Journals {
    /// Bookings executed more than once, wherever, with the VMs and attempts.
    #[must_use]
    pub fn duplicate_bookings(&self) -> IndexMap<&str, Vec<(&str, &str)>> {
        let mut bookings: IndexMap<&str, Vec<(&str, &str)>> = IndexMap::new();
        for (vm, journal) in &self.by_vm {
            for (request, attempts) in &journal.bookings {
                let attempts = attempts
                    .iter()
                    .map(|attempt| (vm.as_str(), attempt.as_str()));
                bookings.entry(request).or_default().extend(attempts);
            }
        }
        bookings.retain(|_, attempts| attempts.len() > 1);
        bookings
    }

    /// Whether a booking was executed.
    #[must_use]
    pub fn has_booked(&self, request: &str) -> bool {
        self.by_vm
            .values()
            .any(|journal| journal.bookings.contains_key(request))
    }

    /// Whether a request got a slot of an engine.
    #[must_use]
    pub fn has_run(&self, request: &str) -> bool {
        self.by_vm
            .values()
            .any(|journal| journal.requests.contains_key(request))
    }

    /// How often upstreams fell over.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.by_vm.values().map(|journal| journal.crashes).sum()
    }

    /// Tokens given, by version.
    #[must_use]
    pub fn tokens(&self) -> IndexMap<VersionId, u64> {
        let mut all = IndexMap::new();
        for (version, tokens) in self.by_vm.values().flat_map(|journal| &journal.tokens) {
            *all.entry(version.clone()).or_default() += tokens;
        }
        all
    }

    /// Work taken so far by each VM: chats begun, bookings and lookups executed.
    #[must_use]
    pub fn work(&self) -> IndexMap<VmId, u64> {
        let work = |journal: &Journal| {
            let chats: u64 = journal.requests.values().copied().map(u64::from).sum();
            let bookings: usize = journal.bookings.values().map(Vec::len).sum();
            chats + bookings as u64 + journal.lookups
        };
        let each = self.by_vm.iter();
        each.map(|(id, journal)| (id.clone(), work(journal)))
            .collect()
    }
}
