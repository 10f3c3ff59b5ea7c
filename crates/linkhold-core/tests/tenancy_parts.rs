//! A partition between two coordinators of one tenant, in virtual time. Guards against
//! both granting the whole rate to their sides of the fleet, so that a window exceeds
//! its limit.

use std::time::{Duration, Instant};

use linkhold_core::tenancy::budget::{
    Grant, GrantPolicy, GrantRole, NodeBudget, SpendDecision, TokenBucket,
};
use linkhold_core::tenancy::shares::{InheritedShare, RequesterShares, ReservedRate};
use linkhold_core::tenancy::{QuotaRules, RateLimit};
use proptest::prelude::*;

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const STEP: Duration = Duration::from_millis(20);
/// Step at which the partition begins, and number of steps that the model runs.
const SPLIT_AT: usize = 400;
const STEPS: usize = 1_000;

/// Mechanisms that are enabled.
#[derive(Clone, Copy)]
struct Mechanisms {
    inherits_shares: bool,
    reserves_shares: bool,
}

struct Coordinator {
    budget: TokenBucket,
    shares: RequesterShares<usize>,
}

struct Node {
    budget: NodeBudget,
    inherited: Option<InheritedShare>,
    is_cut_off: bool,
    /// Operations per second that its callers request.
    demand: f64,
    /// Operations that its callers have not requested yet.
    pending: f64,
}

struct Model {
    limit: RateLimit,
    mechanisms: Mechanisms,
    nodes: Vec<Node>,
    coordinators: [Coordinator; 2],
    spent: Vec<Instant>,
}

impl Model {
    fn new(rate: f64, demands: &[(f64, bool)], mechanisms: Mechanisms, now: Instant) -> Self {
        let limit = RateLimit {
            rate_per_second: rate,
            burst: rate / 5.0,
        };
        let coordinator = || Coordinator {
            budget: TokenBucket::new(now, &policy(limit, 0.0)),
            shares: RequesterShares::default(),
        };
        let node = |(demand, is_cut_off): &(f64, bool)| Node {
            budget: NodeBudget::default(),
            inherited: None,
            is_cut_off: *is_cut_off,
            demand: *demand,
            pending: 0.0,
        };
        Self {
            limit,
            mechanisms,
            nodes: demands.iter().map(node).collect(),
            coordinators: [coordinator(), coordinator()],
            spent: Vec::new(),
        }
    }

    fn run(&mut self, start: Instant) {
        for step in 0..STEPS {
            let now = start + STEP * u32::try_from(step).unwrap();
            for index in 0..self.nodes.len() {
                self.serve(index, step >= SPLIT_AT, now);
            }
        }
    }

    fn serve(&mut self, index: usize, is_split: bool, now: Instant) {
        let node = &mut self.nodes[index];
        node.pending += node.demand * STEP.as_secs_f64();
        while node.pending >= 1.0 {
            node.pending -= 1.0;
            match node.budget.spend(now) {
                SpendDecision::Granted => self.spent.push(now),
                SpendDecision::Refused(_) => {}
                SpendDecision::NeedsGrant => {
                    let grant = ask(
                        node,
                        index,
                        &mut self.coordinators,
                        (self.limit, self.mechanisms),
                        is_split,
                        now,
                    );
                    node.budget.record_grant(now, grant);
                    if node.budget.spend(now) == SpendDecision::Granted {
                        self.spent.push(now);
                    }
                }
            }
        }
    }

    /// Most operations in any window.
    fn most(&self) -> usize {
        let mut most = 0;
        let mut first = 0;
        for (last, at) in self.spent.iter().enumerate() {
            while self.spent[first] + RULES.window <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }
}

fn policy(limit: RateLimit, reserved_rate: f64) -> GrantPolicy {
    GrantPolicy {
        limit,
        in_window: RULES.window_limit(limit),
        window: RULES.window,
        role: GrantRole::Coordinator,
        reserved_rate,
    }
}

fn ask(
    node: &mut Node,
    index: usize,
    coordinators: &mut [Coordinator; 2],
    (limit, mechanisms): (RateLimit, Mechanisms),
    is_split: bool,
    now: Instant,
) -> Grant {
    let has_switched = is_split && node.is_cut_off;
    let wanted = node.budget.operations_to_request(now, 1);
    let mut inherited = None;
    if has_switched && mechanisms.inherits_shares {
        let rate = node.budget.recent_rate(now);
        let is_saturated = node.budget.is_saturated(now);
        let share = node
            .inherited
            .get_or_insert_with(|| InheritedShare::new(rate, is_saturated, now));
        if share.begins_at(now).is_some() {
            return Grant {
                amount: 0,
                retry_after: STEP,
            };
        }
        inherited = Some(share.rate);
    }
    let coordinator = &mut coordinators[usize::from(has_switched)];
    let cut_off = match mechanisms.reserves_shares {
        true => coordinator.shares.reserved_rate(now, |_| true),
        false => 0.0,
    };
    // The share of a node that asks for the first time counts as well.
    coordinator.shares.record_request(index, inherited, now);
    let reserved_rate = ReservedRate {
        cut_off,
        inherited: coordinator.shares.inherited_rate(),
    };
    let policy = policy(limit, reserved_rate.of(limit));
    let grant = coordinator.budget.grant(now, wanted, &policy);
    coordinator
        .shares
        .record_grant(index, wanted, grant.amount, now);
    grant
}

fn most_in_a_window(rate: f64, demands: &[(f64, bool)], mechanisms: Mechanisms) -> usize {
    let start = Instant::now();
    let mut model = Model::new(rate, demands, mechanisms, start);
    model.run(start);
    model.most()
}

fn allowed(rate: f64) -> f64 {
    let limit = RateLimit {
        rate_per_second: rate,
        burst: rate / 5.0,
    };
    RULES.window_limit(limit).max
}

const ALL: Mechanisms = Mechanisms {
    inherits_shares: true,
    reserves_shares: true,
};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Any split of nodes whose callers request up to three times the rate.
    #[test]
    fn two_coordinators_let_no_window_have_more_than_it_may(
        rate in 200.0_f64..600.0,
        load in 0.3_f64..3.0,
        sides in prop::collection::vec((0.5_f64..2.0, any::<bool>()), 4..40),
    ) {
        let total: f64 = sides.iter().map(|(weight, _)| weight).sum();
        let demands: Vec<(f64, bool)> = sides
            .iter()
            .map(|(weight, side)| (weight / total * rate * load, *side))
            .collect();
        let most = most_in_a_window(rate, &demands, ALL);
        prop_assert!(most as f64 <= allowed(rate), "{most} of {}", allowed(rate));
    }
}

/// Half of forty nodes on each side, each with callers for a tenth of the rate.
fn even_split() -> Vec<(f64, bool)> {
    (0..40).map(|number| (50.0, number % 2 == 0)).collect()
}

#[test]
fn with_either_mechanism_off_a_window_has_more_than_it_may() {
    let [only_inherits, only_reserves] = [true, false].map(|inherits_shares| Mechanisms {
        inherits_shares,
        reserves_shares: !inherits_shares,
    });
    for mechanisms in [only_inherits, only_reserves] {
        let most = most_in_a_window(500.0, &even_split(), mechanisms);
        assert!(most as f64 > allowed(500.0), "{most}");
    }
    assert!(most_in_a_window(500.0, &even_split(), ALL) as f64 <= allowed(500.0));
}

/// Each side grants without knowing whether the other coordinator still runs. While
/// both sides saturate the limit, no more than a tenth of the rate goes unused.
#[test]
fn the_rate_is_used_on_both_sides() {
    let start = Instant::now();
    let mut model = Model::new(500.0, &even_split(), ALL, start);
    model.run(start);
    let from = start + STEP * 600;
    let late = model.spent.iter().filter(|at| **at >= from).count();
    let seconds = (STEP * 400).as_secs_f64();
    let share = late as f64 / (500.0 * seconds);
    assert!((0.9..1.05).contains(&share), "{share}");
}
