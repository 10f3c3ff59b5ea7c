//! Budgets of tenants: no window lets more through than it may, whatever
//! coordinators believe; a tenant below its limit is served.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use linkhold_core::tenancy::budget::{
    ClaimExtent, CoordinatedBudget, GrantTerms, HeldBudget, OthersClaim, Spending, Standing,
    VIEW_SETTLE, VIEW_TRUST,
};
use linkhold_core::tenancy::{QuotaRules, RateLimit, WindowLimit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const NODES: usize = 3;
/// A row that is not renewed no longer counts after this.
const ROW_EXPIRY: Duration = Duration::from_secs(13);

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds; nodes that are not cut off learn the fleet.
    Pass(u64),
    /// A coordinator is asked for operations, which are spent after a while if
    /// they have not lapsed; the answer may be lost.
    Ask {
        node: usize,
        wanted: u64,
        spent_after: u64,
        is_lost: bool,
    },
    /// A node is killed and starts anew after a while, in milliseconds.
    Restart { node: usize, after: u64 },
    /// A node loses the store, or finds it back.
    Cut { node: usize, is_cut: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ask = (0..NODES, 1_u64..60, 0_u64..2_000, prop::bool::weighted(0.1)).prop_map(
        |(node, wanted, spent_after, is_lost)| Step::Ask {
            node,
            wanted,
            spent_after,
            is_lost,
        },
    );
    let step = prop_oneof![
        8 => (1_u64..400).prop_map(Step::Pass),
        1 => (1_000_u64..9_000).prop_map(Step::Pass),
        12 => ask,
        1 => (0..NODES, 0_u64..20_000).prop_map(|(node, after)| Step::Restart { node, after }),
        1 => (0..NODES, any::<bool>()).prop_map(|(node, is_cut)| Step::Cut { node, is_cut }),
    ];
    prop::collection::vec(step, 1..300)
}

/// A claim in the store.
struct Claim {
    holder: (usize, u32),
    extent: ClaimExtent,
    written_at: Instant,
}

struct Node {
    life: u32,
    /// `None` while it runs.
    down_until: Option<Instant>,
    is_cut: bool,
    budget: CoordinatedBudget,
    view: Vec<usize>,
    view_read_at: Option<Instant>,
    settled_at: Instant,
}

struct Model {
    now: Instant,
    limit: WindowLimit,
    nodes: Vec<Node>,
    /// When each node's row was last renewed.
    registered: BTreeMap<usize, Instant>,
    claim: Option<Claim>,
    spent: Vec<(Instant, u64)>,
    /// Whether claims decide anything; without them the property must fail.
    has_claims: bool,
}

impl Model {
    fn new(rate: f64, burst: f64, has_claims: bool) -> Self {
        let now = Instant::now() + Duration::from_secs(100);
        let node = || Node {
            life: 0,
            down_until: None,
            is_cut: false,
            budget: CoordinatedBudget::default(),
            view: (0..NODES).collect(),
            view_read_at: Some(now),
            settled_at: now,
        };
        Self {
            now,
            limit: RULES.window_limit(RateLimit {
                rate_per_second: rate,
                burst,
            }),
            nodes: (0..NODES).map(|_| node()).collect(),
            registered: (0..NODES).map(|node| (node, now)).collect(),
            claim: None,
            spent: Vec::new(),
            has_claims,
        }
    }

    fn listed(&self) -> Vec<usize> {
        let present = self.registered.iter();
        present
            .filter(|(_, renewed)| self.now < **renewed + ROW_EXPIRY)
            .map(|(node, _)| *node)
            .collect()
    }

    fn pass(&mut self, milliseconds: u64) {
        // In small steps: nodes renew their rows and learn the fleet meanwhile.
        let mut left = milliseconds;
        while left > 0 {
            let step = left.min(500);
            left -= step;
            self.now += Duration::from_millis(step);
            for node in 0..NODES {
                self.tick(node);
            }
        }
    }

    fn tick(&mut self, number: usize) {
        if self.nodes[number]
            .down_until
            .is_some_and(|until| self.now >= until)
        {
            self.start(number);
        }
        if self.nodes[number].down_until.is_some() || self.nodes[number].is_cut {
            return;
        }
        self.registered.insert(number, self.now);
        let listed = self.listed();
        let node = &mut self.nodes[number];
        node.view = listed;
        node.view_read_at = Some(self.now);
    }

    fn start(&mut self, number: usize) {
        let was_listed = self.listed().contains(&number);
        let now = self.now;
        let node = &mut self.nodes[number];
        node.life += 1;
        node.down_until = None;
        node.budget = CoordinatedBudget::default();
        node.view = Vec::new();
        node.view_read_at = None;
        node.settled_at = if was_listed { now } else { now + VIEW_SETTLE };
    }

    fn terms(&self, number: usize) -> GrantTerms {
        let node = &self.nodes[number];
        let rank = node.view.iter().position(|other| *other == number);
        let age = node.view_read_at.map_or(VIEW_TRUST, |at| self.now - at);
        GrantTerms {
            limit: self.limit,
            window: RULES.window,
            standing: Standing::of_rank(rank, age, false),
            settled_at: node.settled_at,
        }
    }

    fn ask(&mut self, number: usize, wanted: u64, spent_after: u64, is_lost: bool) {
        if self.nodes[number].down_until.is_some() {
            return;
        }
        let terms = self.terms(number);
        let now = self.now;
        let budget = &mut self.nodes[number].budget;
        let grant = budget.grant(now, wanted, &terms);
        let spent_at = now + Duration::from_millis(spent_after);
        if !is_lost && spent_after < grant.lapse.as_millis() as u64 {
            self.spent.push((spent_at, grant.amount));
        }
        if self.nodes[number].is_cut {
            return;
        }
        if self.nodes[number].budget.needs_reading(terms.standing) {
            let others = self.others_claim(number);
            self.nodes[number].budget.claims_read(now, others, &terms);
        }
        if let Some(extent) = self.nodes[number].budget.wanted_claim(now, &terms) {
            self.take_claim(number, extent, &terms);
        }
    }

    fn others_claim(&self, number: usize) -> Option<OthersClaim> {
        let claim = self.claim.as_ref().filter(|_| self.has_claims)?;
        let own = (number, self.nodes[number].life);
        (claim.holder != own).then_some(OthersClaim {
            extent: claim.extent,
            age: self.now - claim.written_at,
        })
    }

    fn take_claim(&mut self, number: usize, extent: ClaimExtent, terms: &GrantTerms) {
        let knows_all = self
            .listed()
            .iter()
            .all(|node| self.nodes[number].view.contains(node));
        let others = self.others_claim(number);
        let is_held = others.is_some_and(|claim| claim.holds());
        if (extent == ClaimExtent::Whole && !knows_all) || (extent == ClaimExtent::Half && is_held)
        {
            return;
        }
        self.claim = Some(Claim {
            holder: (number, self.nodes[number].life),
            extent,
            written_at: self.now,
        });
        let now = self.now;
        self.nodes[number]
            .budget
            .claimed(now, extent, others, terms);
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            match step {
                Step::Pass(milliseconds) => self.pass(*milliseconds),
                Step::Ask {
                    node,
                    wanted,
                    spent_after,
                    is_lost,
                } => self.ask(*node, *wanted, *spent_after, *is_lost),
                Step::Restart { node, after } => {
                    let until = self.now + Duration::from_millis(*after);
                    self.nodes[*node].down_until = Some(until);
                }
                Step::Cut { node, is_cut } => self.nodes[*node].is_cut = *is_cut,
            }
        }
    }

    /// The most that any window let through.
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
        let mut model = Model::new(f64::from(rate), f64::from(burst), true);
        model.run(&steps);
        prop_assert!(model.fullest_window() as f64 <= model.limit.most, "{}", model.limit.most);
    }
}

/// A flood that goes on while its coordinator is killed and starts anew at once.
fn flood_with_restart() -> Vec<Step> {
    let mut steps = Vec::new();
    for round in 0..400 {
        if round == 300 {
            steps.push(Step::Restart { node: 0, after: 10 });
        }
        steps.push(Step::Pass(50));
        steps.push(Step::Ask {
            node: 0,
            wanted: 60,
            spent_after: 0,
            is_lost: false,
        });
    }
    steps
}

#[test]
fn a_coordinator_that_comes_back_in_a_flood_finds_its_claim() {
    let mut model = Model::new(40.0, 40.0, true);
    model.run(&flood_with_restart());
    let fullest = model.fullest_window() as f64;
    assert!(fullest <= model.limit.most, "{fullest} {:?}", model.limit);
    // The flood reached what it was owed before.
    assert!(
        fullest >= model.limit.owed * 0.95,
        "{fullest} {:?}",
        model.limit
    );
}

#[test]
fn without_claims_such_a_flood_exceeds_its_limit() {
    let mut model = Model::new(40.0, 40.0, false);
    model.run(&flood_with_restart());
    assert!(model.fullest_window() as f64 > model.limit.most);
}

#[test]
fn a_tenant_below_half_of_its_limit_is_never_refused() {
    let mut model = Model::new(40.0, 40.0, true);
    let now = model.now;
    // One in 60 ms is 83 in a window, of 240 that are owed.
    for round in 0..1_000 {
        model.pass(60);
        let terms = model.terms(0);
        let at = model.now;
        let budget = &mut model.nodes[0].budget;
        let grant = budget.grant(at, 1, &terms);
        assert_eq!(grant.amount, 1, "round {round}, after {:?}", at - now);
        if budget.needs_reading(terms.standing) {
            budget.claims_read(at, None, &terms);
        }
    }
}

#[test]
fn budgets_at_a_node_lapse_and_refusals_are_remembered() {
    let start = Instant::now();
    let mut held = HeldBudget::default();
    assert_eq!(held.spend(start), Spending::Ask);
    assert_eq!(held.need(start), 1);
    let grant = |amount| linkhold_core::tenancy::budget::Grant {
        amount,
        lapse: Duration::from_millis(300),
        retry_after: Duration::from_millis(200),
    };
    held.granted(start, grant(2));
    assert_eq!(held.spend(start), Spending::Granted);
    let lapsed = start + Duration::from_millis(300);
    assert_eq!(held.spend(lapsed), Spending::Ask);
    assert_eq!(held.need(lapsed), 2);
    held.granted(lapsed, grant(0));
    let soon = lapsed + Duration::from_millis(150);
    assert_eq!(
        held.spend(soon),
        Spending::Refused(Duration::from_millis(50))
    );
    assert_eq!(held.spend(soon + Duration::from_millis(50)), Spending::Ask);
}
