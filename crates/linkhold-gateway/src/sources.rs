//! Chooses where this node gets configuration and instances from: the store, or a node that
//! reads the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::reader_search::{ReaderSearch, SearchSituation, Step};
use linkhold_core::service::readers::{claim_delay, link_delay};
use linkhold_events::Event;
use rand::seq::SliceRandom;
use tokio::time::sleep;

use crate::feed::{self, StaleLimit};
use crate::fleet;
use crate::gateway::Gateway;
use crate::ports::{Platform, StoreError};
use crate::registration;
use crate::state::{FleetSource, ReadReason, ReaderAddresses};

/// How often a reader checks whether it is still chosen as one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before another reader is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// How long a node that found no reader reads the store itself before it tries readers
/// again.
const STANDALONE_READ_TIME: Duration = Duration::from_millis(5_000);
/// Number of readers tried in a first round: of this node's region, and of other regions.
const FIRST_ROUND: [usize; 2] = [3, 2];
/// First pause of a starting node after the store gave no answer; doubles each time.
const MIN_START_PAUSE: Duration = Duration::from_millis(100);
/// Longest of these pauses. All nodes may be starting at once.
const MAX_START_PAUSE: Duration = Duration::from_millis(1_500);

/// Chooses the source as the fleet changes and readers are lost. Runs until the process
/// ends.
pub(crate) async fn choose_source<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut follower = Follower::new();
    loop {
        match gateway.source() {
            FleetSource::Unknown => discover_readers(&gateway).await,
            FleetSource::Store => {
                serve_as_reader(&gateway).await;
                follower = Follower::new();
            }
            FleetSource::Readers(readers) => {
                gateway.fleet.stop_reading();
                follower.step(&gateway, &readers).await;
            }
        }
    }
}

/// Finds the fleet's readers, and becomes one if there is none.
async fn discover_readers<P: Platform>(gateway: &Gateway<P>) {
    let starts_with_all = gateway.settings.is_first_start && gateway.fleet.size() == 0;
    if !starts_with_all {
        read_fleet_until_answered(gateway).await;
        if gateway.source() != FleetSource::Unknown {
            return;
        }
    }
    let link_delay = link_delay(gateway.settings.bandwidth);
    sleep(claim_delay(rand::random()) + link_delay).await;
    read_fleet_until_answered(gateway).await;
    if gateway.source() == FleetSource::Unknown {
        gateway.fleet.start_reading(fleet::own_node(gateway));
    }
}

async fn read_fleet_until_answered<P: Platform>(gateway: &Gateway<P>) {
    let mut pause = MIN_START_PAUSE;
    while let Err(error) = registration::read_fleet(gateway).await {
        log_read_failure(gateway, error);
        sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        pause = (pause * 2).min(MAX_START_PAUSE);
    }
}

fn log_read_failure<P: Platform>(gateway: &Gateway<P>, error: StoreError) {
    gateway.metrics.store_failures.add();
    Event::info("look_failed").field("error", error).log();
}

/// Reads the store as one of the fleet's readers, until the next role check.
async fn serve_as_reader<P: Platform>(gateway: &Gateway<P>) {
    gateway.fleet.start_reading(fleet::own_node(gateway));
    // A node that replaces a primary asks the listed nodes, so this node registers first.
    if !gateway.sources.is_reading()
        && let Err(error) = registration::register(gateway).await
    {
        registration::log_failure(gateway, error);
        sleep(RECONNECT_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
        return;
    }
    gateway.sources.start_reading(ReadReason::Chosen);
    sleep(ROLE_CHECK_INTERVAL).await;
}

/// State of a node that follows a reader or searches for one.
///
/// The data of the last reader stays valid for as long as it is trusted, so a node that
/// changes to another reader within that time does not ask the store.
struct Follower {
    search: ReaderSearch,
    trusted_until: Instant,
    /// Readers in the order in which they are tried.
    order: Vec<SocketAddr>,
}

impl Follower {
    fn new() -> Self {
        Self {
            search: ReaderSearch::default(),
            trusted_until: Instant::now(),
            order: Vec::new(),
        }
    }

    fn situation<P: Platform>(&self, gateway: &Gateway<P>) -> SearchSituation {
        SearchSituation {
            now: Instant::now(),
            trusted_until: self.trusted_until,
            readers: self.order.len().min(FIRST_ROUND.iter().sum()),
            can_serve: gateway.cluster.can_serve(),
            freshness: gateway.freshness,
        }
    }

    async fn step<P: Platform>(&mut self, gateway: &Arc<Gateway<P>>, readers: &ReaderAddresses) {
        if self.search.failed_readers() == 0 || self.order.is_empty() {
            self.order = retry_order(readers);
        }
        let situation = self.situation(gateway);
        if situation.now >= self.trusted_until && !gateway.sources.is_reading() {
            gateway.cluster.directory_read_failed();
        }
        match self.search.next(&situation) {
            Step::Follow => self.follow(gateway, StaleLimit::UntilStale).await,
            Step::Stay(until) => self.follow(gateway, StaleLimit::Until(until)).await,
            Step::CheckStore => self.read_fleet(gateway).await,
            Step::Read => self.read_without_reader(gateway).await,
        }
    }

    async fn follow<P: Platform>(&mut self, gateway: &Arc<Gateway<P>>, stale_limit: StaleLimit) {
        let next = self.search.failed_readers() % self.order.len().max(1);
        let (Some(reader), Some(key)) = (self.order.get(next).copied(), gateway.fleet.key()) else {
            // The view of the fleet has changed since the order was made.
            sleep(RECONNECT_PAUSE).await;
            return;
        };
        let trusted_before = self.trusted_until;
        let lost = feed::follow(gateway, reader, &key, stale_limit, &mut self.trusted_until).await;
        let was_trusted = self.trusted_until != trusted_before;
        Event::info("reader_lost")
            .field("reader", reader)
            .field("reason", format_args!("{lost:?}"))
            .field("was_trusted", was_trusted)
            .log();
        if was_trusted {
            self.search = ReaderSearch::default();
        } else {
            let situation = self.situation(gateway);
            self.search
                .record_reader_failure(&situation, rand::random());
        }
        sleep(RECONNECT_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
    }

    async fn read_fleet<P: Platform>(&mut self, gateway: &Gateway<P>) {
        let result = registration::read_fleet(gateway).await;
        match result {
            // Other readers may be listed now.
            Ok(()) => self.order.clear(),
            Err(error) => log_read_failure(gateway, error),
        }
        let situation = self.situation(gateway);
        self.search
            .record_store_check(result.is_ok(), &situation, rand::random());
    }

    async fn read_without_reader<P: Platform>(&mut self, gateway: &Gateway<P>) {
        if let Err(error) = registration::register(gateway).await {
            registration::log_failure(gateway, error);
        }
        gateway.sources.start_reading(ReadReason::NoReaderTrusted);
        sleep(STANDALONE_READ_TIME.mul_f64(rand::random_range(0.8..1.2))).await;
        self.search = ReaderSearch::default();
    }
}

/// Readers in the order in which they are tried: some of this node's region, some of other
/// regions, then the rest.
fn retry_order(readers: &ReaderAddresses) -> Vec<SocketAddr> {
    let [near, far] = FIRST_ROUND;
    let (mut first, mut rest) = shuffled(&readers.near, near);
    let (first_far, rest_far) = shuffled(&readers.far, far);
    first.extend(first_far);
    rest.extend(rest_far);
    first.extend(rest);
    first
}

/// The first `most` addresses in a random order, and the others.
fn shuffled(addresses: &[SocketAddr], most: usize) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let mut shuffled = addresses.to_vec();
    shuffled.shuffle(&mut rand::rng());
    let rest = shuffled.split_off(most.min(shuffled.len()));
    (shuffled, rest)
}
