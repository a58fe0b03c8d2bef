use indexmap::IndexMap;
use indexmap::map::Entry;

use super::{Finding, Place};
use crate::configuration::Configuration;
use crate::id::{ApiKey, CustomerId};

/// Checks the customers.
pub(super) fn check(configuration: &Configuration, findings: &mut Vec<Finding>) {
    let mut ids: IndexMap<&CustomerId, usize> = IndexMap::new();
    let mut owners: IndexMap<&ApiKey, Place> = IndexMap::new();
    for (index, customer) in configuration.customers.iter().flatten().enumerate() {
        let place = Place::Customer(index, customer.id.clone());
        if ids.insert(&customer.id, index).is_some() {
            let text = "another customer has this name";
            findings.push(Finding::error(place.clone(), text));
        }
        if customer.api_keys.is_empty() {
            let text = "it has no API key, so it can use public routes only";
            findings.push(Finding::warning(place.clone(), text));
        }
        for (position, key) in customer.api_keys.iter().enumerate() {
            let number = position + 1;
            if key.trim().is_empty() {
                let text = format!("API key {number} is empty");
                findings.push(Finding::error(place.clone(), text));
                continue;
            }
            match owners.entry(key) {
                Entry::Vacant(entry) => {
                    entry.insert(place.clone());
                }
                Entry::Occupied(owner) if *owner.get() == place => {
                    let text = format!("API key {number} is listed twice");
                    findings.push(Finding::warning(place.clone(), text));
                }
                Entry::Occupied(owner) => {
                    let owner = owner.get();
                    let text = format!(
                        "API key {number} belongs to {owner} too, which its requests count for"
                    );
                    findings.push(Finding::error(place.clone(), text));
                }
            }
        }
    }
}
