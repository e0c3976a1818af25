//! What all gateways together send to members that have just started, in virtual time, against what the settings allow: N calls
//! in any span, N being the multiple of what a member can take at the slowest warm-up, and 2 x root of N + 2 for chance. A member
//! can take its even part of the stated rate.
mod common;
use common::fleet::*;

/// Guards against a storm at the start: each gateway's first request, as rare as they are there, passed for one of the usual
/// ones, and thirty of those, with their halves and thirds, for far more than a newcomer bears.
#[test]
fn twenty_and_thirty_gateways_together_spare_newcomers_in_storms() {
    for play in [SLOW, QUICK, LONG, TWENTY] {
        for surge in [0.0, 5.0, 15.0] {
            for groups in [play.groups, 0] {
                let (most, least) = worst(WarmupScenario { surge, groups, ..play }, 4);
                assert!(most <= 0.0, "{most:+.2} too many");
                assert!(least >= 2.0, "newcomers stand idle");
            }
        }
    }
}

#[test]
fn three_hundred_gateways_spare_newcomers_where_requests_have_no_groups() {
    let play = WarmupScenario { nodes: 300, members: 80, cold_members: 40, rate: 80.0, groups: 0, ..SLOW };
    for surge in [0.0, 10.0] {
        let (most, least) = worst(WarmupScenario { surge, ..play }, 2);
        assert!(most <= 0.0 && least >= 2.0, "{most:+.2} too many");
    }
}

#[test]
fn three_hundred_gateways_spare_newcomers_at_a_large_groups_place() {
    let play = WarmupScenario {
        nodes: 300,
        members: 80,
        cold_members: 40,
        rate: 80.0,
        load_factor: 1.5,
        groups: 56,
        ..SLOW
    };
    let (most, least) = worst(play, 2);
    assert!(most <= 0.0 && least >= 2.0, "{most:+.2} too many");
}

/// Guards against incident 1: a zone is lost and comes back cold, its gateways with it. Each request passed the draws of one cold
/// member after the other until one let it in, so that all of the zone's traffic went to members of which each was taken to get
/// its even part.
#[test]
fn a_zone_that_comes_back_cold_with_its_gateways_is_spared() {
    let play = WarmupScenario {
        nodes: 300,
        members: 84,
        rate: 160.0,
        load_factor: 0.6,
        groups: 56,
        zones: 6,
        ..SLOW
    };
    let all = [(false, 0.0), (true, 0.0), (false, 2.0), (true, 2.0)];
    let all = all.map(|(nodes_restarted, surge)| worst(WarmupScenario { nodes_restarted, surge, ..play }, 3));
    assert!(all.iter().all(|(most, least)| *most <= 0.0 && *least >= 2.0), "{all:.2?}");
}
