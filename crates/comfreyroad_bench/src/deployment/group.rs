/// Upstreams of one pool, distributed evenly over the zones.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the pool in the rules.
    pub pool: &'static str,
    /// Prefix of the VM names.
    pub name: &'static str,
    /// Number of VMs.
    pub count: u8,
    /// Whether the upstreams are engines rather than plain services.
    pub is_engine: bool,
    /// Additional settings of the fake upstreams, as comma-separated `key=value` pairs.
    pub settings: String,
}

impl Group {
    /// A group of engines.
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

    /// A group of plain services.
    #[must_use]
    pub fn services(pool: &'static str, name: &'static str, count: u8) -> Self {
        Self {
            is_engine: false,
            ..Self::engines(pool, name, count)
        }
    }

    /// Sets the settings of the fake upstreams.
    #[must_use]
    pub fn with_settings(self, settings: impl Into<String>) -> Self {
        Self {
            settings: settings.into(),
            ..self
        }
    }

    /// The flag that adds such an upstream to the fake services.
    #[must_use]
    pub fn flag(&self) -> &'static str {
        if self.is_engine {
            "--engine"
        } else {
            "--service"
        }
    }
}
