/// Upstreams of one pool, spread evenly over the zones.
#[derive(Clone, Debug)]
pub struct Group {
    /// Pool in the rules.
    pub pool: &'static str,
    /// Start of the VMs' names.
    pub name: &'static str,
    /// Number of VMs.
    pub count: u8,
    /// Whether they are engines; else they are plain services.
    pub is_engine: bool,
    /// More settings of the stand-ins, as `key=value` pairs by commas.
    pub settings: String,
}

impl Group {
    /// Engines.
    #[must_use]
    pub fn engines(pool: &'static str, name: &'static str, count: u8) -> Self {
        Self {
            pool,
            name,
            count,
            is_engine: true,
            settings: String::new(),
        }
    }

    /// Plain services.
    #[must_use]
    pub fn services(pool: &'static str, name: &'static str, count: u8) -> Self {
        Self {
            is_engine: false,
            ..Self::engines(pool, name, count)
        }
    }

    /// Sets what the stand-ins are like.
    #[must_use]
    pub fn with_settings(self, settings: impl Into<String>) -> Self {
        Self {
            settings: settings.into(),
            ..self
        }
    }

    /// The stand-ins' flag.
    #[must_use]
    pub fn flag(&self) -> &'static str {
        if self.is_engine {
            "--engine"
        } else {
            "--service"
        }
    }
}
