//! Which term's log may be promoted, by what the deciding node, the nodes that agree and
//! the lease's row know.
//!
//! Guards against a node that missed a term and promotes a log of an older one: it asked
//! neither the nodes that agreed nor the row of the lease that it had claimed.

mod common;

use std::time::Instant;

use common::is_broken;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::acknowledged::{NodeReport, acknowledged_bound, newest_term};
use linkhold_core::service::failover::{InstanceStatus, has_current_term};
use linkhold_core::service::instance::{InstanceId, Role};
use linkhold_core::service::primary_verification::PromotionRecord;
use proptest::prelude::*;

const NODES: usize = 3;
const INSTANCES: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The primary crashes, or starts again.
    ToggleInstance(usize),
    /// A node acknowledges a commit of the primary.
    Acknowledge(usize),
    /// A node stores the newest term that it knows.
    Store(usize),
    /// A node ends after its terms are stored, and another one starts that reads the row.
    Replace(usize),
    /// A node promotes an instance, if its log may be promoted.
    Order(usize, usize),
}

/// The source of knowledge that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    Reports,
    Row,
}

struct Run {
    without: Without,
    started_at: Instant,
    reports: [NodeReport; NODES],
    row: PromotionRecord,
    /// End of each instance's log.
    logs: [Position; INSTANCES],
    is_up: [bool; INSTANCES],
    primary: usize,
    newest_term: u64,
    /// The newest term in which a commit was acknowledged.
    acknowledged: Term,
}

impl Run {
    fn new(without: Without) -> Self {
        let started_at = Instant::now();
        Self {
            without,
            started_at,
            reports: [report(started_at, None); NODES],
            row: PromotionRecord::default(),
            logs: [Position::new(1, 1); INSTANCES],
            is_up: [true; INSTANCES],
            primary: 0,
            newest_term: 1,
            acknowledged: Term(1),
        }
    }

    /// Takes a step; returns `false` if it promotes a log of an older term than a commit
    /// was acknowledged in.
    fn take(&mut self, step: Step) -> bool {
        match step {
            Step::ToggleInstance(instance) => self.is_up[instance] = !self.is_up[instance],
            Step::Acknowledge(node) => self.acknowledge(node),
            Step::Store(node) => self.store(node),
            Step::Replace(node) => self.replace(node),
            Step::Order(node, instance) => return self.order(node, instance),
        }
        true
    }

    fn acknowledge(&mut self, node: usize) {
        if !self.is_up[self.primary] {
            return;
        }
        let position = Position::new(self.newest_term, self.logs[self.primary].index + 1);
        self.logs[self.primary] = position;
        self.reports[node].newest = Some(position);
        self.reports[node].proved_term = Some(position.term);
        self.acknowledged = position.term;
    }

    fn store(&mut self, node: usize) {
        if let Some(term) = newest_term(&[self.reports[node]]) {
            self.row.record_proved_term(term, None);
        }
    }

    fn replace(&mut self, node: usize) {
        self.store(node);
        let stored = self.row.proved_term;
        let stored = stored.filter(|_| self.without != Without::Row);
        self.reports[node] = report(self.started_at, stored);
    }

    fn order(&mut self, node: usize, instance: usize) -> bool {
        if self.is_up[self.primary] || !self.is_up[instance] {
            return true;
        }
        let own = newest_term(&[self.reports[node]]);
        let reported = newest_term(&self.reports).filter(|_| self.without != Without::Reports);
        let stored = self
            .row
            .proved_term
            .filter(|_| self.without != Without::Row);
        let known = own.max(reported).max(stored);
        let evidence = known.map(|term| Position { term, index: 0 });
        if !has_current_term(&status(instance, self.logs[instance]), evidence) {
            return true;
        }
        let is_kept = self.logs[instance].term >= self.acknowledged;
        self.primary = instance;
        self.newest_term += 1;
        is_kept
    }
}

fn report(remembers_since: Instant, proved_term: Option<Term>) -> NodeReport {
    NodeReport {
        remembers_since,
        evidence_at: None,
        newest: None,
        proved_term,
        log_holders: 0,
    }
}

fn status(instance: usize, received: Position) -> InstanceStatus {
    InstanceStatus {
        id: InstanceId(format!("instance-{instance}").into()),
        role: Role::Replica,
        term: received.term,
        received,
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..INSTANCES).prop_map(Step::ToggleInstance),
        (0..NODES).prop_map(Step::Acknowledge),
        (0..NODES).prop_map(Step::Store),
        (0..NODES).prop_map(Step::Replace),
        (0..NODES, 0..INSTANCES).prop_map(|(node, instance)| Step::Order(node, instance)),
    ]
}

fn keeps_terms(steps: &[Step], without: Without) -> bool {
    let mut run = Run::new(without);
    steps.iter().all(|step| run.take(*step))
}

fn runs() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_log_of_an_older_term_than_was_acknowledged_is_never_promoted(steps in runs()) {
        prop_assert!(keeps_terms(&steps, Without::Nothing));
    }
}

/// The property without each source of knowledge: steps are found that break it.
#[test]
fn a_log_of_an_older_term_is_promoted_without_each_source() {
    for without in [Without::Reports, Without::Row] {
        let is_broken = is_broken(8_192, &runs(), |steps| keeps_terms(&steps, without));
        assert!(is_broken, "nothing is broken without {without:?}");
    }
}

/// Evidence of an older term says nothing of what was acknowledged in a newer one.
#[test]
fn evidence_of_an_older_term_than_is_reported_bounds_nothing() {
    let now = Instant::now();
    let older = NodeReport {
        evidence_at: Some(now),
        newest: Some(Position::new(1, 303)),
        ..report(now, Some(Term(1)))
    };
    let newer = report(now, Some(Term(2)));
    assert_eq!(acknowledged_bound(&[older], None), older.newest);
    assert_eq!(acknowledged_bound(&[older, newer], None), None);
}
