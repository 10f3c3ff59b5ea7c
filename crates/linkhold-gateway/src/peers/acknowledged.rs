//! What nodes tell each other of the commits that they acknowledged.

use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::acknowledged::NodeReport;
use linkhold_peer::{AcknowledgedCommits, milliseconds};

use super::questions::ANSWER_TIMEOUT;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// What this node knows of the commits of a service that it acknowledged. Complete only
/// once the node acknowledges nothing more.
pub(crate) fn own_report<P: Platform>(gateway: &Gateway<P>, service: &str) -> NodeReport {
    NodeReport {
        remembers_since: gateway.started_at,
        evidence_at: gateway.cluster.latest_evidence(service),
        newest: gateway.cluster.newest_acknowledged(service),
        proved_term: gateway.cluster.newest_proved_term(service),
        log_holders: count_log_holders(gateway, service),
    }
}

/// Number of logs that may hold commits of a service, as this node knows.
fn count_log_holders<P: Platform>(gateway: &Gateway<P>, service: &str) -> usize {
    let recorded = gateway.log_groups.latest(service);
    let recorded = recorded.map_or(0, |group| group.members.len());
    recorded.max(gateway.cluster.count_log_holders(service, Instant::now()))
}

/// [`own_report`] as other nodes receive it.
pub(super) fn commits<P: Platform>(gateway: &Gateway<P>, service: &str) -> AcknowledgedCommits {
    let report = own_report(gateway, service);
    let age_ms = |moment: Instant| milliseconds(moment.elapsed());
    AcknowledgedCommits {
        running_ms: age_ms(report.remembers_since),
        evidence_age_ms: report.evidence_at.map(age_ms),
        newest: report.newest.map(|it| (it.term.0, it.index)),
        log_holders: report.log_holders as u64,
        proved_term: report.proved_term.map(|term| term.0),
    }
}

/// The report in an answer that has just arrived, in this node's time; `None` if it has
/// impossible ages. The answer was on its way for up to [`ANSWER_TIMEOUT`]: the process
/// started no later, and the evidence is no older, than is assumed.
pub(super) fn decode(commits: AcknowledgedCommits) -> Option<NodeReport> {
    let now = Instant::now();
    let before = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms));
    let evidence_at = match commits.evidence_age_ms {
        Some(age_ms) => Some(before(age_ms)?.checked_sub(ANSWER_TIMEOUT)?),
        None => None,
    };
    Some(NodeReport {
        remembers_since: before(commits.running_ms)?,
        evidence_at,
        newest: commits
            .newest
            .map(|(term, index)| Position::new(term, index)),
        proved_term: commits.proved_term.map(Term),
        log_holders: usize::try_from(commits.log_holders).unwrap_or(usize::MAX),
    })
}
