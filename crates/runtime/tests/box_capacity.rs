//! What a box takes on as the scheduler, by what it has.

use runtime::box_capacity::BoxCapacity;

/// Share of a core, memory in MB and descriptors of boxes that are in use, and backend servers that each must carry, or at most may.
#[test]
fn a_box_takes_on_what_it_bears() {
    for (cpu_share, memory_mb, descriptors, least, most) in [
        (0.12, 160.0, 4100, 1100, 1500),
        (0.25, 260.0, 4100, 2500, 3000),
        (1.0, 160.0, 4100, 2500, 2700),
        (1.0, 1024.0, 16_384, 11_700, 12_000),
    ] {
        let carrying = BoxCapacity::new(cpu_share, memory_mb, descriptors);
        assert!((least..=most).contains(&carrying.servers), "{memory_mb} MB, {descriptors}: {carrying:?}");
        assert!(carrying.servers + carrying.order_connections <= descriptors - 600, "{carrying:?}");
        assert!(carrying.order_connections * 8 >= carrying.servers, "{carrying:?}");
    }
}

#[test]
fn the_least_box_carries_something() {
    assert_eq!(BoxCapacity::new(0.00001, 1.0, 10).servers, 1);
}
