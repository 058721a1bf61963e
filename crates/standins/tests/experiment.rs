//! The experiment: fair shares, and runs that give the same figures for a seed and keep the limits on loads.

use mustardgate_standins::experiment::{
    Deployment, DeploymentKind, PolicyKind, ScenarioKind, fair_shares, generate_arrivals, run_once,
};

#[test]
fn fair_shares_are_even_up_to_each_demand() {
    assert_eq!(fair_shares(&[100.0, 3.0, 10.0], 33.0), [20.0, 3.0, 10.0]);
    assert_eq!(fair_shares(&[5.0, 5.0], 6.0), [3.0, 3.0]);
}

#[test]
fn every_policy_gives_the_same_figures_for_a_seed_and_keeps_the_limits() {
    let deployment = Deployment::new(DeploymentKind::Pinto);
    let mut arrivals = generate_arrivals(&deployment, ScenarioKind::DomainLost, 3);
    // Every sixtieth request is enough to reach the fault, and keeps the test short.
    arrivals = arrivals.into_iter().step_by(60).collect();
    for policy in PolicyKind::ALL {
        let run = || run_once(&deployment, ScenarioKind::DomainLost, 3, policy, &arrivals);
        let figures = run();
        assert_eq!(format!("{figures:?}"), format!("{:?}", run()), "{policy}");
        assert!(figures.attained + figures.refused <= figures.offered, "{policy}");
        assert!(figures.attained * 10 >= figures.offered * 9, "{policy}: {figures:?}");
        assert_eq!(figures.refused_orders, 0, "{policy}");
        assert!(
            figures.most_model_loads <= deployment.policy.store_concurrent_loads,
            "{policy}"
        );
    }
}
