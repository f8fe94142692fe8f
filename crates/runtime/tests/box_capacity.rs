//! The capacity of a box as the scheduler, by its resources.

use runtime::box_capacity::{BoxCapacity, guard_limits};

/// Each case: share of a core, memory in MB, descriptors, and the least and the most backend servers for it. The sizes
/// are those of boxes in use.
#[test]
fn capacity_is_within_the_resources_of_a_box() {
    for (cpu_share, memory_mb, descriptors, least, most) in [
        (0.12, 160.0, 4100, 1100, 1500),
        (0.25, 260.0, 4100, 2500, 3000),
        (1.0, 160.0, 4100, 2500, 2700),
        (1.0, 1024.0, 16_384, 11_700, 12_000),
    ] {
        let capacity = BoxCapacity::new(cpu_share, memory_mb, descriptors);
        assert!((least..=most).contains(&capacity.servers), "{memory_mb} MB, {descriptors}: {capacity:?}");
        assert!(capacity.servers + capacity.order_connections <= descriptors - 600, "{capacity:?}");
        assert!(capacity.order_connections * 8 >= capacity.servers, "{capacity:?}");
    }
}

#[test]
fn smallest_box_has_capacity_for_one_server() {
    assert_eq!(BoxCapacity::new(0.00001, 1.0, 10).servers, 1);
}

/// Guards against limits on connections of clients that reduce what the smallest boxes in use can carry, and against
/// sums beyond the resources of a box.
#[test]
fn connections_of_clients_have_room_beside_the_backend_servers() {
    for (cpu_share, memory_mb, descriptors, servers) in [(0.12, 160.0, 4100, 1440), (0.09, 120.0, 3075, 1080)] {
        let clients = guard_limits(memory_mb, descriptors);
        let capacity = BoxCapacity::new(cpu_share, memory_mb, descriptors);
        assert_eq!(capacity.servers, servers);
        let kept = capacity.servers + capacity.order_connections;
        assert!(kept + clients.connections.0 + 500 <= descriptors, "{capacity:?}, {clients:?}");
        assert!(servers as f64 * 0.045 + clients.memory.0 as f64 / 1e6 + 30.0 <= memory_mb, "{clients:?}");
    }
}
