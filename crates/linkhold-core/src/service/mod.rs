//! Decisions about services and the instances that announce themselves for them:
//! routes, instances, evidence of freshness, placement, session state and failover.

pub mod acknowledged;
pub mod concurrency;
pub mod configuration;
pub mod connection_share;
pub mod directory;
pub mod eligibility;
pub mod evacuation;
pub mod evidence;
pub mod failover;
pub mod health;
pub mod incarnations;
pub mod instance;
pub mod joins;
pub mod listing;
pub mod log_completeness;
pub mod log_group;
pub mod owners;
pub mod permission;
pub mod placement;
pub mod primary_placement;
pub mod primary_verification;
pub mod reader_search;
pub mod readers;
pub mod regions;
pub mod session;
pub mod store_revision;
pub mod synchronous_replicas;
pub mod waiting;
pub mod warm_up;
pub mod watchers;
pub mod withholding;
