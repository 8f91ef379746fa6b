//! What the policy must not do under load and faults; its figures are in `docs/POLICY.md`.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_model::load::User;
use hollyspoke_model::policy::{self, Case};
use hollyspoke_model::result::Figures;
use hollyspoke_model::world::Action;

/// How long a load lasts.
const SPAN: Duration = Duration::from_secs(20);

/// Runs Lima at a load with faults.
fn run(load: f64, faults: Vec<(Time, Action)>) -> Result<Figures, String> {
    let user = User::lima();
    let rates = [(Time::ZERO, user.capacity() * load)];
    let requests = user.draw(7, &rates, Time::ZERO + SPAN);
    let case = Case { requests, faults, owner_pause: None, span: SPAN, seed: 7 };
    policy::run(&user, &case).map_err(|it| it.to_string())
}

/// Makes the point at some seconds.
fn second(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// Engines that report nothing are still used while their requests succeed.
#[test]
fn reports_stopped() -> Result<(), String> {
    let figures = run(0.8, vec![(second(3), Action::AnswerPolls(false))])?;
    assert!(figures.goodput > figures.offered * 0.9, "{figures:?}");
    Ok(())
}

/// Links that have become slow waste no prefill: the owner learns their rate.
#[test]
fn links_slow() -> Result<(), String> {
    let figures = run(0.8, vec![(second(3), Action::SlowLinks(0.1))])?;
    assert!(figures.wasted < 0.02, "{figures:?}");
    assert!(figures.goodput > figures.offered * 0.7, "{figures:?}");
    Ok(())
}

/// At twice the capacity more is answered in time than at the capacity, and nothing is wasted.
#[test]
fn throughput_collapses() -> Result<(), String> {
    let (full, double) = (run(1.0, Vec::new())?, run(2.0, Vec::new())?);
    assert!(double.goodput >= full.goodput, "{full:?} {double:?}");
    assert!(double.wasted < 0.01 && double.failed < 0.01, "{double:?}");
    Ok(())
}
