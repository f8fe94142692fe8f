//! Properties of the division into fair shares. A wrong division would delay customers that are entitled to capacity, or
//! divide more than there is; both show only with unusual mixtures of demands and weights.

use jobs::Resources;
use proptest::{prelude::*, test_runner::Config};
use scheduler::fair_share::{
    AboveShare, Capacity, Claim, Claimant, Demand, Position, Queue, Reservations, ResourceKind, Shares, Weight,
};

/// Largest error of shares, relative and in accelerators.
const ROUNDING: f64 = 1e-9;

fn accelerators(accelerators: u64) -> Resources {
    Resources { accelerators, ..Resources::default() }
}

fn customer(i: usize) -> Claimant {
    Claimant(i)
}

fn demand(weight: f64, guaranteed: u64, held: u64, wanted: u64) -> Demand {
    let weight = Weight::new(weight).expect("it is positive and finite");
    Demand { weight, guaranteed, held: accelerators(held), wanted: accelerators(wanted) }
}

fn divide(free: u64, demands: &[Demand]) -> Option<Shares> {
    Shares::divide(&Capacity { free: accelerators(free) }, demands)
}

fn fair(shares: &Shares, i: usize) -> f64 {
    shares.of(customer(i)).fair
}

fn weights() -> impl Strategy<Value = f64> {
    prop_oneof![8 => 0.1..10.0, 1 => Just(f64::MIN_POSITIVE), 1 => Just(1e300)]
}

fn demands() -> impl Strategy<Value = Vec<Demand>> {
    let one = (weights(), 0u64..50, 0u64..200, 0u64..2000);
    prop::collection::vec(
        one.prop_map(|(weight, guaranteed, held, wanted)| demand(weight, guaranteed, held, wanted)),
        1..20,
    )
}

/// Guards against capacity that is left over although somebody wants it: the demands of two customers with the smallest
/// weight were divided in the wrong order, since both ratios of demand to weight were infinite.
#[test]
fn customers_with_the_smallest_weight_share_what_the_others_leave() {
    let shares = divide(818, &[demand(f64::MIN_POSITIVE, 0, 0, 2000), demand(f64::MIN_POSITIVE, 0, 0, 10)]);
    let shares = shares.expect("more is wanted than free");
    assert_eq!([fair(&shares, 0), fair(&shares, 1)], [808.0, 10.0]);
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, ..Config::default() })]

    #[test]
    fn sums_are_conserved(free in 0u64..1000, demands in demands()) {
        let capacity = free + demands.iter().map(|d| d.held.accelerators).sum::<u64>();
        let total: u64 = demands.iter().map(|d| d.held.accelerators + d.wanted.accelerators).sum();
        let Some(shares) = divide(free, &demands) else {
            prop_assert!(total <= capacity);
            return Ok(());
        };
        prop_assert!(total > capacity);
        prop_assert_eq!(shares.capacity(), capacity);
        let sum: f64 = shares.iter().map(|(_, share)| share.fair).sum();
        prop_assert!((sum - capacity as f64).abs() <= ROUNDING * capacity as f64, "{} of {}", sum, capacity);
        for (_, share) in shares.iter() {
            prop_assert!(share.fair >= 0.0 && share.fair <= share.demand as f64 * (1.0 + ROUNDING));
        }
    }

    #[test]
    fn nobody_gets_less_than_its_demand_or_its_weighted_part(free in 0u64..1000, demands in demands()) {
        let demands: Vec<Demand> = demands.into_iter().map(|demand| Demand { guaranteed: 0, ..demand }).collect();
        let Some(shares) = divide(free, &demands) else { return Ok(()) };
        let weights: f64 = demands.iter().map(|demand| demand.weight.get()).sum();
        for (i, demand) in demands.iter().enumerate() {
            let part = shares.capacity() as f64 * (demand.weight.get() / weights);
            let wanted = (demand.held.accelerators + demand.wanted.accelerators) as f64;
            prop_assert!(fair(&shares, i) >= part.min(wanted) * (1.0 - ROUNDING) - ROUNDING);
        }
    }

    #[test]
    fn a_guarantee_is_covered_first(free in 0u64..1000, demands in demands()) {
        let guaranteed: u64 =
            demands.iter().map(|d| d.guaranteed.min(d.held.accelerators + d.wanted.accelerators)).sum();
        let Some(shares) = divide(free, &demands) else { return Ok(()) };
        prop_assume!(guaranteed <= shares.capacity());
        for (i, demand) in demands.iter().enumerate() {
            let covered = demand.guaranteed.min(demand.held.accelerators + demand.wanted.accelerators);
            prop_assert!(fair(&shares, i) >= covered as f64);
        }
    }

    #[test]
    fn a_larger_weight_never_gives_less(free in 0u64..1000, demands in demands(), factor in 1.0f64..20.0) {
        let Some(before) = divide(free, &demands) else { return Ok(()) };
        let mut heavier = demands;
        let Some(weight) = Weight::new(heavier[0].weight.get() * factor) else { return Ok(()) };
        heavier[0].weight = weight;
        let after = divide(free, &heavier).expect("the demand is the same");
        prop_assert!(fair(&after, 0) >= fair(&before, 0) * (1.0 - ROUNDING));
    }

    /// Work within the share takes at most the share and one group.
    #[test]
    fn a_queue_admits_no_more_than_one_group_beyond_the_share(
        free in 0u64..1000,
        demands in demands(),
        each in 1u64..80,
        groups in 1usize..100,
    ) {
        let Some(shares) = divide(free, &demands) else { return Ok(()) };
        let mut queue = Queue::new(&shares, &AboveShare::default());
        let share = shares.of(customer(0));
        let within = queue.take_groups(customer(0), each, groups);
        let taken = share.held as f64 + within as f64 * each as f64;
        prop_assert!(within == 0 || taken < share.fair + each as f64);
        prop_assert!(within == groups || taken >= share.fair);
    }
}

#[test]
fn the_scarcest_resource_is_divided() {
    let need = |cpu_milli, memory_mb, accelerators| Resources { cpu_milli, memory_mb, accelerators };
    let wants = |wanted| Demand { wanted, ..Demand::default() };
    let capacity = Capacity { free: need(1000, 1000, 10) };
    let divide = |a, b| Shares::divide(&capacity, &[wants(a), wants(b)]);
    assert_eq!(divide(need(500, 500, 5), need(500, 500, 5)), None);
    let by_memory = divide(need(600, 3000, 6), need(600, 0, 6)).expect("it does not fit");
    assert_eq!((by_memory.kind(), by_memory.of(customer(0)).fair), (ResourceKind::Memory, 1000.0));
    let by_accelerators = divide(need(1100, 0, 11), need(0, 0, 0)).expect("it does not fit");
    assert_eq!(by_accelerators.kind(), ResourceKind::Accelerators);
    let none_left = Shares::divide(&Capacity { free: need(0, 0, 0) }, &[wants(need(0, 0, 1))]);
    assert_eq!(none_left.expect("it does not fit").of(customer(0)).fair, 0.0);
}

#[test]
fn guarantees_that_do_not_fit_are_reduced_alike() {
    let shares = divide(0, &[demand(1.0, 30, 10, 20), demand(9.0, 10, 10, 0)]).expect("it does not fit");
    assert_eq!((fair(&shares, 0), fair(&shares, 1)), (15.0, 5.0));
}

/// Without a margin, a customer at its share changes sides with each run that ends, and the order of candidates with it.
#[test]
fn a_customer_that_is_above_its_share_stays_so_until_it_is_below_by_a_margin() {
    let mut above = AboveShare::default();
    let mut is_above = |held: u64| {
        above.update(&divide(200 - held, &[demand(1.0, 0, held, 500), demand(1.0, 0, 0, 500)]).expect("it is short"));
        above.contains(customer(0))
    };
    assert_eq!(
        [99, 100, 101, 100, 99, 96, 95, 100, 101].map(&mut is_above),
        [false, false, true, true, true, true, false, false, true]
    );
}

#[test]
fn a_later_job_does_not_overtake_a_gang_of_its_own_customer_by_fitting_into_the_share() {
    let shares = divide(100, &[demand(1.0, 0, 0, 500), demand(1.0, 0, 0, 500)]).expect("it does not fit");
    let mut queue = Queue::new(&shares, &AboveShare::default());
    assert_eq!(queue.take_groups(customer(0), 49, 1), 1);
    assert_eq!(queue.take_groups(customer(0), 64, 1), 1, "the customer was below its share before");
    assert_eq!(queue.take_groups(customer(0), 1, 5), 0);
    assert_eq!(queue.take_groups(customer(1), 20, 9), 3);
    assert_eq!(queue.take_groups(customer(1), 1, 1), 0, "three groups exhausted the share");
}

#[test]
fn capacity_is_kept_from_the_gangs_own_customer_and_from_those_that_have_more_of_their_share() {
    let claim = |i, position| Claim { customer: customer(i), position };
    let mut kept = Reservations::default();
    kept.add(claim(0, Position::Within), 8);
    kept.add(claim(1, Position::Beyond), 16);
    assert_eq!(kept.kept_from(&claim(0, Position::Within)), 8);
    assert_eq!(kept.kept_from(&claim(1, Position::Beyond)), 24);
    assert_eq!(kept.kept_from(&claim(2, Position::Within)), 0);
    assert_eq!(kept.kept_from(&claim(2, Position::Beyond)), 8);
    kept.add(claim(3, Position::FarBelow), 32);
    assert_eq!(kept.kept_from(&claim(2, Position::Within)), 32);
    assert_eq!(kept.kept_from(&claim(2, Position::FarBelow)), 0);
}
