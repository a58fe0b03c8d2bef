//! All stand-ins of one process.

use std::rc::Rc;
use std::time::Duration;

use crate::options::Options;
use crate::ratings::Ratings;
use crate::server::{Fake, Server};
use crate::service::Service;
use crate::vms::List;
use crate::weights::Weights;
use crate::{Result, engine, log};

/// Listening stand-ins; dropping the fleet stops all listeners.
#[derive(Default)]
pub struct Fleet {
    delay: Duration,
    /// The servers, in the order in which they were started.
    pub servers: Vec<Server>,
}

impl Fleet {
    /// Starts all stand-ins that the options configure.
    pub fn start(options: &Options) -> Result<Self> {
        let mut fleet = Self {
            delay: options.delay,
            servers: Vec::new(),
        };
        let mut rng = fastrand::Rng::with_seed(options.seed);
        if let Some(address) = &options.log {
            fleet.add(address, log::Service::new(options.log_settings.clone()))?;
        }
        if let Some(address) = &options.vms {
            let upstreams = options.engines.iter().map(|(vm, _)| vm);
            let upstreams = upstreams.chain(options.services.iter().map(|(vm, _)| vm));
            let vms = options.entries.iter().chain(upstreams).cloned().collect();
            fleet.add(address, List::new(vms, options.vms_lag))?;
        }
        if let Some(address) = &options.ratings {
            fleet.add(address, Ratings::default())?;
        }
        if let Some(address) = &options.weights {
            let burst = options.weights_rate.max(1.0);
            fleet.add(address, Weights::new(options.weights_rate, burst))?;
        }
        for (vm, settings) in &options.engines {
            fleet.add(
                &vm.address,
                engine::Service::new(settings.clone(), rng.fork()),
            )?;
        }
        for (vm, settings) in &options.services {
            fleet.add(&vm.address, Service::new(settings.clone()))?;
        }
        Ok(fleet)
    }

    fn add(&mut self, address: &str, fake: impl Fake + 'static) -> Result<()> {
        self.servers
            .push(Server::start(address, Rc::new(fake), self.delay)?);
        Ok(())
    }
}
