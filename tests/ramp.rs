//! Slow start over a whole fleet in virtual time: what all nodes together send to members that have just
//! started, compared with what the settings allow. Allowed are N requests in any span, where N is the
//! multiple of what a member can take at the slowest warm-up, and 2 x root of N + 2 for chance. A member can
//! take its even share of the stated rate.
mod common;
use common::fleet::*;

/// Guards against a burst at the start that overloads new members. Requests are rare at each node, but each
/// node took its first request for one of its usual rate. The first requests of thirty nodes, with the halves
/// and thirds that counted after them, were far more than a new member can take.
#[test]
fn twenty_or_thirty_nodes_do_not_overload_new_members_in_bursts() {
    for scenario in [SLOW, QUICK, LONG, TWENTY] {
        for surge in [0.0, 5.0, 15.0] {
            for groups in [scenario.groups, 0] {
                let (excess, mean_connections) =
                    worst_over_seeds(WarmupScenario { surge, groups, ..scenario }, 4);
                assert!(excess <= 0.0, "{excess:+.2} requests over the allowance");
                assert!(mean_connections >= 2.0, "new members stay idle");
            }
        }
    }
}

#[test]
fn three_hundred_nodes_do_not_overload_new_members_without_groups() {
    let scenario =
        WarmupScenario { nodes: 300, members: 80, cold_members: 40, rate: 80.0, groups: 0, ..SLOW };
    for surge in [0.0, 10.0] {
        let (excess, mean_connections) = worst_over_seeds(WarmupScenario { surge, ..scenario }, 2);
        assert!(
            excess <= 0.0 && mean_connections >= 2.0,
            "{excess:+.2} requests over the allowance, {mean_connections:.2} connections"
        );
    }
}

#[test]
fn three_hundred_nodes_do_not_overload_the_new_member_of_a_large_group() {
    let scenario = WarmupScenario {
        nodes: 300,
        members: 80,
        cold_members: 40,
        rate: 80.0,
        load_factor: 1.5,
        groups: 56,
        ..SLOW
    };
    let (excess, mean_connections) = worst_over_seeds(scenario, 2);
    assert!(
        excess <= 0.0 && mean_connections >= 2.0,
        "{excess:+.2} requests over the allowance, {mean_connections:.2} connections"
    );
}

/// Guards against incident 1: a zone is lost and its members and nodes restart together. Each request went
/// through the random admission of one cold member after the other until one admitted it. So all of the
/// zone's traffic went to cold members, while the admission assumed that each got only its even share.
#[test]
fn members_of_a_restarted_zone_are_not_overloaded() {
    let scenario = WarmupScenario {
        nodes: 300,
        members: 84,
        rate: 160.0,
        load_factor: 0.6,
        groups: 56,
        zones: 6,
        ..SLOW
    };
    let variants = [(false, 0.0), (true, 0.0), (false, 2.0), (true, 2.0)];
    let results = variants.map(|(nodes_restarted, surge)| {
        worst_over_seeds(WarmupScenario { nodes_restarted, surge, ..scenario }, 3)
    });
    assert!(
        results.iter().all(|(excess, mean_connections)| *excess <= 0.0 && *mean_connections >= 2.0),
        "{results:.2?}"
    );
}
