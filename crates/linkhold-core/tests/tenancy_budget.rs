//! Budgets of tenants. Guards against a window that lets more operations through than
//! its limit while one coordinator succeeds another without knowing what that one
//! granted, and against refusals for a tenant below its limit.

use std::time::{Duration, Instant};

use linkhold_core::tenancy::budget::{
    GRANT_LIFETIME, Grant, GrantPolicy, GrantRole, MAX_VIEW_AGE, NodeBudget, SpendDecision,
    TokenBucket,
};
use linkhold_core::tenancy::{QuotaRules, RateLimit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};

#[derive(Clone, Debug)]
enum Step {
    /// Time passes (milliseconds).
    Pass(u64),
    /// The coordinator is asked; its grant is spent `spent_after` milliseconds later.
    Ask { wanted: u64, spent_after: u64 },
    /// A stand-in for the coordinator is asked as well.
    AskStandIn { wanted: u64, spent_after: u64 },
    /// Another coordinator takes over, without any state.
    Succeed,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let lifetime = GRANT_LIFETIME.as_millis() as u64;
    let step = prop_oneof![
        8 => (1_u64..400).prop_map(Step::Pass),
        1 => (1_000_u64..9_000).prop_map(Step::Pass),
        12 => (1_u64..400, 0..lifetime).prop_map(|(wanted, spent_after)| Step::Ask { wanted, spent_after }),
        4 => (1_u64..40, 0..lifetime).prop_map(|(wanted, spent_after)| Step::AskStandIn { wanted, spent_after }),
        1 => Just(Step::Succeed),
    ];
    prop::collection::vec(step, 1..400)
}

fn policy(rate: f64, burst: f64, role: GrantRole) -> GrantPolicy {
    let limit = RateLimit {
        rate_per_second: rate,
        burst,
    };
    GrantPolicy {
        limit,
        in_window: RULES.window_limit(limit),
        window: RULES.window,
        role,
        reserved_rate: 0.0,
    }
}

struct Model {
    now: Instant,
    policy: GrantPolicy,
    stand_in_policy: GrantPolicy,
    coordinator: TokenBucket,
    stand_in: TokenBucket,
    /// When coordinators took over within the last window and grant lifetime.
    successions: Vec<Instant>,
    spent: Vec<(Instant, u64)>,
}

impl Model {
    fn new(rate: f64, burst: f64) -> Self {
        let now = Instant::now();
        let coordinating = policy(rate, burst, GrantRole::Coordinator);
        let standing_in = policy(rate, burst, GrantRole::StandIn);
        Self {
            now,
            policy: coordinating,
            stand_in_policy: standing_in,
            coordinator: TokenBucket::new(now, &coordinating),
            stand_in: TokenBucket::new(now, &standing_in),
            successions: vec![now],
            spent: Vec::new(),
        }
    }

    fn spend(&mut self, grant: Grant, after: u64) {
        let at = self.now + Duration::from_millis(after);
        self.spent.push((at, grant.amount));
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            match step {
                Step::Pass(milliseconds) => self.now += Duration::from_millis(*milliseconds),
                Step::Ask {
                    wanted,
                    spent_after,
                } => {
                    let grant = self.coordinator.grant(self.now, *wanted, &self.policy);
                    self.spend(grant, *spent_after);
                }
                Step::AskStandIn {
                    wanted,
                    spent_after,
                } => {
                    let grant = self
                        .stand_in
                        .grant(self.now, *wanted, &self.stand_in_policy);
                    self.spend(grant, *spent_after);
                }
                Step::Succeed => self.succeed(),
            }
        }
    }

    /// At most two coordinators begin within a window and a grant lifetime.
    fn succeed(&mut self) {
        let now = self.now;
        self.successions
            .retain(|at| now < *at + RULES.window + GRANT_LIFETIME);
        if self.successions.len() < 2 {
            self.successions.push(now);
            self.coordinator = TokenBucket::new(now, &self.policy);
        }
    }

    /// Most operations in any window.
    fn fullest_window(&self) -> u64 {
        let in_window = |start: Instant| -> u64 {
            let spent = self.spent.iter();
            spent
                .filter(|(at, _)| *at >= start && *at < start + RULES.window)
                .map(|(_, amount)| amount)
                .sum()
        };
        let starts = self.spent.iter().map(|(at, _)| in_window(*at));
        starts.max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    #[test]
    fn no_window_lets_more_through_than_it_may(
        steps in steps(),
        rate in 1_u32..200,
        burst in 0_u32..400,
    ) {
        let mut model = Model::new(f64::from(rate), f64::from(burst));
        model.run(&steps);
        let most = model.policy.in_window.max;
        prop_assert!(model.fullest_window() as f64 <= most, "{most}");
    }
}

fn flood(model: &mut Model, lasting: Duration) {
    let end = model.now + lasting;
    while model.now < end {
        model.run(&[
            Step::Pass(20),
            Step::Ask {
                wanted: 100,
                spent_after: 0,
            },
        ]);
    }
}

#[test]
fn a_flood_gets_what_it_is_owed_in_the_long_run() {
    let mut model = Model::new(40.0, 40.0);
    flood(&mut model, Duration::from_secs(30));
    let spent: u64 = model.spent.iter().map(|(_, amount)| amount).sum();
    assert!(spent as f64 >= 40.0 * 29.0, "{spent}");
    assert!(model.fullest_window() as f64 <= model.policy.in_window.max);
}

#[test]
fn two_coordinators_at_a_time_exceed_the_limit() {
    // The token buckets alone do not prevent this; shows that the model detects it.
    let mut model = Model::new(40.0, 40.0);
    let mut second = TokenBucket::new(model.now, &model.policy);
    for _ in 0..1_000 {
        model.run(&[
            Step::Pass(20),
            Step::Ask {
                wanted: 100,
                spent_after: 0,
            },
        ]);
        let grant = second.grant(model.now, 100, &model.policy);
        model.spend(grant, 0);
    }
    assert!(model.fullest_window() as f64 > model.policy.in_window.max);
}

#[test]
fn a_tenant_at_nine_tenths_of_its_rate_is_refused_seldom() {
    for rate in [6.0, 40.0, 200.0] {
        let mut model = Model::new(rate, rate);
        let pause = Duration::from_secs_f64(1.0 / (rate * 0.9));
        let mut refused = 0;
        for _ in 0..2_000 {
            model.now += pause;
            let grant = model.coordinator.grant(model.now, 1, &model.policy);
            refused += u32::from(grant.amount == 0);
        }
        assert_eq!(refused, 0, "at {rate} a second");
    }
}

#[test]
fn a_refusal_gives_the_time_until_the_next_operation() {
    let mut model = Model::new(4.0, 1.0);
    let drained = model.coordinator.grant(model.now, 1_000, &model.policy);
    assert!(drained.amount >= 1);
    let refused = model.coordinator.grant(model.now, 1, &model.policy);
    assert_eq!(refused.amount, 0);
    let later = model.now + refused.retry_after + Duration::from_millis(1);
    let granted = model.coordinator.grant(later, 1, &model.policy);
    assert_eq!(granted.amount, 1);
}

#[test]
fn what_did_not_run_can_be_granted_again_and_no_more() {
    let mut model = Model::new(4.0, 4.0);
    model.now += Duration::from_secs(60);
    let full = model
        .coordinator
        .grant(model.now, 1_000, &model.policy)
        .amount;
    model.coordinator.return_unused(3, &model.policy);
    let again = model.coordinator.grant(model.now, 1_000, &model.policy);
    assert_eq!(again.amount, 3);
    model.coordinator.return_unused(10_000, &model.policy);
    let most = model.coordinator.grant(model.now, 10_000, &model.policy);
    assert_eq!(most.amount, full);
    let mut held = NodeBudget::default();
    held.record_not_run();
    held.record_not_run();
    assert_eq!((held.take_unused(), held.take_unused()), (2, 0));
}

#[test]
fn a_node_grants_the_rate_only_as_first_or_after_the_others_are_lost() {
    let soon = Duration::from_millis(10);
    let of_rank = GrantRole::of_rank;
    assert_eq!(of_rank(Some(0), soon, false), GrantRole::Coordinator);
    assert_eq!(of_rank(Some(1), soon, false), GrantRole::StandIn);
    assert_eq!(of_rank(Some(2), soon, true), GrantRole::Coordinator);
    assert_eq!(of_rank(None, soon, true), GrantRole::StandIn);
    assert_eq!(of_rank(Some(0), MAX_VIEW_AGE, false), GrantRole::StandIn);
    assert_eq!(of_rank(Some(1), MAX_VIEW_AGE, true), GrantRole::StandIn);
}

#[test]
fn budgets_at_a_node_lapse_and_refusals_are_remembered() {
    let start = Instant::now();
    let mut held = NodeBudget::default();
    assert_eq!(held.spend(start), SpendDecision::NeedsGrant);
    assert_eq!(held.operations_to_request(start, 1), 1);
    let grant = |amount| Grant {
        amount,
        retry_after: Duration::from_millis(200),
    };
    held.record_grant(start, grant(20));
    for _ in 0..10 {
        assert_eq!(held.spend(start), SpendDecision::Granted);
    }
    let expired_at = start + GRANT_LIFETIME;
    assert_eq!(held.spend(expired_at), SpendDecision::NeedsGrant);
    // Ten operations in 1.5 s are two within the lifetime of a grant.
    assert_eq!(held.operations_to_request(expired_at, 1), 3);
    held.record_grant(expired_at, grant(0));
    let soon = expired_at + Duration::from_millis(150);
    let left = Duration::from_millis(50);
    assert_eq!(held.spend(soon), SpendDecision::Refused(left));
    assert_eq!(held.spend(soon + left), SpendDecision::NeedsGrant);
}
