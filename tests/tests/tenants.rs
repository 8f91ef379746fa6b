//! Tenants' limits over several boxes, and their shares of busy engines.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::event::CallId;
use hollyspoke::time::Time;
use hollyspoke_model::ledger::End;
use hollyspoke_model::load::Plan;
use hollyspoke_model::world::{Action, Sending, World, generate};

/// The boxes.
const BOXES: usize = 3;

/// How long requests come.
const SPAN: Duration = Duration::from_secs(20);

/// How long boxes get to find each other.
const WARM_UP: Duration = Duration::from_secs(3);

/// Sends each tenant's requests at an even pace; gives how many of each were answered and how many
/// were refused.
fn run(
    site: hollyspoke::site::Site,
    tenants: &[(&str, u64)],
) -> Result<BTreeMap<String, (u32, u32)>, String> {
    let mut world = World::new(site, BOXES, 3);
    world.run(Time::ZERO + WARM_UP).map_err(|it| it.to_string())?;
    let mut names = BTreeMap::new();
    let mut number = 0;
    for (tenant, rate) in tenants {
        let pause = Duration::from_secs(1) / *rate as u32;
        let count = SPAN.as_secs() * rate;
        for place in 0..count {
            number += 1;
            let mut arrival = generate(number, 400, 100, 100);
            arrival.tenant = (*tenant).to_owned();
            let at = world.now() + pause * place as u32;
            let to = number as usize % BOXES;
            let sending = Sending { call: CallId(number), request: number, at: to, arrival };
            world.schedule_action(at, Action::Send(Box::new(sending)));
            names.insert(CallId(number), (*tenant).to_owned());
        }
    }
    let end = world.now() + SPAN + Duration::from_secs(5);
    world.run(end).map_err(|it| it.to_string())?;
    let mut counts: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for (call, caller) in &world.ledger.callers {
        let counts = counts.entry(names[call].clone()).or_default();
        match &caller.end {
            Some((_, End::Complete)) => counts.0 += 1,
            Some((_, End::NotRun { .. })) => counts.1 += 1,
            other => return Err(format!("call {} ended as {other:?}", call.0)),
        }
    }
    Ok(counts)
}

/// A tenant's limit holds over all boxes together, and leaves other tenants alone.
#[test]
fn limit_over_boxes() -> Result<(), String> {
    let tenants = vec![("limited".to_owned(), 1.0), ("free".to_owned(), 1.0)];
    let plan = Plan { tenants, memory_tokens: 1 << 30, prefill_rate: 1 << 30, ..Plan::default() };
    let mut site = plan.site();
    site.tenants[0].requests_per_second = Some(6.0);
    let counts = run(site, &[("limited", 30), ("free", 30)])?;
    let (answered, refused) = counts["limited"];
    // Six a second for 20 s, and what the boxes had saved at the beginning.
    assert!((114..=132).contains(&answered), "{counts:?}");
    assert_eq!(answered + refused, 600);
    assert_eq!(counts["free"], (600, 0));
    Ok(())
}

/// Busy engines are divided by the tenants' shares.
#[test]
fn shares_of_engines() -> Result<(), String> {
    let tenants = vec![("large".to_owned(), 3.0), ("small".to_owned(), 1.0)];
    let plan = Plan { tenants, prefill_rate: 4000, memory_tokens: 1 << 30, ..Plan::default() };
    let mut site = plan.site();
    site.tenants[0].share = 3.0;
    // The engines compute 20 prompts a second; each tenant sends 20.
    let counts = run(site, &[("large", 20), ("small", 20)])?;
    let (large, small) = (counts["large"].0, counts["small"].0);
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.0..=4.0).contains(&ratio), "{counts:?}");
    Ok(())
}

/// Names that the file does not know have one account together.
#[test]
fn unknown_names() -> Result<(), String> {
    let tenants = vec![("known".to_owned(), 1.0)];
    let plan = Plan { tenants, prefill_rate: 4000, memory_tokens: 1 << 30, ..Plan::default() };
    let made_up = [("a", 7), ("b", 7), ("c", 7), ("d", 7), ("known", 20)];
    let counts = run(plan.site(), &made_up)?;
    let others: u32 = ["a", "b", "c", "d"].iter().map(|it| counts[*it].0).sum();
    let known = counts["known"].0;
    assert!(f64::from(known) > f64::from(others) * 0.75, "{counts:?}");
    Ok(())
}
