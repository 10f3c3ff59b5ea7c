//! Regions in which a request may be run, and seen by nodes other than the one its
//! caller is connected to.
//!
//! # Invariant
//!
//! The regions of a request's route and those of its tenant both apply:
//! [`AllowedRegions::shared_with`] never allows a region that either of them does not.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Name of a region.
pub type RegionName = Arc<str>;

/// Regions to which a request is restricted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// It may be run anywhere.
    #[default]
    Everywhere,
    /// It may be run only in these.
    Only(Arc<BTreeSet<RegionName>>),
}

impl AllowedRegions {
    /// The regions that a configuration lists; an empty list is no restriction.
    pub fn listed(names: impl IntoIterator<Item = impl AsRef<str>>) -> Self {
        let names = names.into_iter().map(|name| Arc::from(name.as_ref()));
        let names: BTreeSet<RegionName> = names.collect();
        if names.is_empty() {
            Self::Everywhere
        } else {
            Self::Only(Arc::new(names))
        }
    }

    /// Exactly these regions, which may be none.
    pub fn exactly(names: BTreeSet<RegionName>) -> Self {
        Self::Only(Arc::new(names))
    }

    /// Whether a region is allowed.
    pub fn permits(&self, region: &str) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Only(names) => names.contains(region),
        }
    }

    /// Whether there is a restriction at all.
    pub fn is_restricted(&self) -> bool {
        matches!(self, Self::Only(_))
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(names) if names.is_empty())
    }

    /// The names in their order; none if there is no restriction.
    pub fn names(&self) -> impl Iterator<Item = &RegionName> {
        let names = match self {
            Self::Everywhere => None,
            Self::Only(names) => Some(names.iter()),
        };
        names.into_iter().flatten()
    }

    /// The names as messages carry them and [`AllowedRegions::listed`] reads them. An
    /// empty list means everywhere, so regions that allow nothing must not be sent this
    /// way.
    pub fn to_list(&self) -> Vec<String> {
        self.names().map(ToString::to_string).collect()
    }

    /// Regions that both allow.
    pub fn shared_with(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Everywhere, restricted) | (restricted, Self::Everywhere) => restricted.clone(),
            (Self::Only(one), Self::Only(two)) => {
                Self::exactly(one.intersection(two).cloned().collect())
            }
        }
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Everywhere => formatter.write_str("everywhere"),
            Self::Only(names) if names.is_empty() => formatter.write_str("none"),
            Self::Only(names) => {
                let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
                formatter.write_str(&names.join(","))
            }
        }
    }
}
