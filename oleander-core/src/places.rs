//! Regions and availability zones.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// `Place` is the location of a VM or an instance: a region and an availability zone in it.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Place {
    /// The name of the region.
    pub region: String,
    /// The name of the availability zone, unique over all regions.
    pub zone: String,
}

/// `Distance` classifies how far two places are apart; smaller values are nearer.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region.
    Remote,
}

impl Place {
    /// Returns the distance to `other`.
    pub fn distance(&self, other: &Place) -> Distance {
        if self.zone == other.zone && self.region == other.region {
            Distance::Zone
        } else if self.region == other.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}

/// `Regions` is the set of regions in which a request may run.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum Regions {
    /// All regions.
    #[default]
    All,
    /// Only these regions; none if the list is empty.
    Only(Vec<String>),
}

impl Regions {
    /// Returns `true` if requests may run in `region`. The empty name stands for an unknown region,
    /// which no list allows.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Regions::All => true,
            Regions::Only(names) => !region.is_empty() && names.iter().any(|name| name == region),
        }
    }
}
