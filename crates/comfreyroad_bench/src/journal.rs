//! Journals in which the fake upstreams record what they execute.

use indexmap::IndexMap;
use serde::Deserialize;

use crate::{AttemptId, RequestId, VersionId, VmId};

/// Journal of one upstream. Engines have no bookings and plain services no requests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Journal {
    /// Name of the VM.
    pub id: VmId,
    /// Number of times that each request got a slot of the engine.
    pub requests: IndexMap<RequestId, u32>,
    /// Number of requests that got a slot, by version.
    pub versions: IndexMap<VersionId, u64>,
    /// Generated tokens, by version.
    pub tokens: IndexMap<VersionId, u64>,
    /// Attempts that executed each booking.
    pub bookings: IndexMap<RequestId, Vec<AttemptId>>,
    /// Booking calls without a request id.
    #[serde(rename = "strays")]
    pub unidentified: u64,
    /// Number of executed lookups.
    pub lookups: u64,
    /// Answers that the caller cancelled or abandoned.
    pub cancelled: u64,
    /// Requests refused for lack of capacity.
    pub refused: u64,
    /// Number of crashes from overload while cold.
    #[serde(rename = "falls")]
    pub crashes: u64,
}

/// Journals of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// The journals, by VM.
    pub by_vm: IndexMap<VmId, Journal>,
}

impl Journals {
    /// Bookings executed more than once on any VMs, each with the VMs and attempts.
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

    /// Whether any upstream executed the booking.
    #[must_use]
    pub fn has_booked(&self, request: &str) -> bool {
        self.by_vm
            .values()
            .any(|journal| journal.bookings.contains_key(request))
    }

    /// Whether the request got a slot of any engine.
    #[must_use]
    pub fn has_run(&self, request: &str) -> bool {
        self.by_vm
            .values()
            .any(|journal| journal.requests.contains_key(request))
    }

    /// Number of crashes of all upstreams from overload while cold.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.by_vm.values().map(|journal| journal.crashes).sum()
    }

    /// Generated tokens, by version.
    #[must_use]
    pub fn tokens(&self) -> IndexMap<VersionId, u64> {
        let mut all = IndexMap::new();
        for (version, tokens) in self.by_vm.values().flat_map(|journal| &journal.tokens) {
            *all.entry(version.clone()).or_default() += tokens;
        }
        all
    }

    /// Work accepted so far by each VM: chats started, bookings and lookups executed.
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
