//! Converts the actions of the deciding rule to a directive for the policy.

use corianderfork_model::Fleet;
use corianderfork_model::Share;
use corianderfork_policy::Directive;
use corianderfork_policy::directive::{Copies, Pace};
use corianderfork_rules::Action;
use corianderfork_rules::action::{Amount, Target};

/// Converts `actions` to a directive.
///
/// ```
/// use corianderfork_controller::plan::directive;
/// use corianderfork_model::Fleet;
/// use corianderfork_policy::directive::{Copies, Pace};
/// use corianderfork_rules::Action;
///
/// let directive = directive::from_actions(&[Action::Hold, Action::WavePause], &Fleet::default());
/// assert_eq!(directive.default_copies, Copies::Hold);
/// assert_eq!(directive.pace, Pace::Paused);
/// ```
pub fn from_actions(actions: &[Action], fleet: &Fleet) -> Directive {
    let mut directive = Directive::default();
    for action in actions {
        apply(&mut directive, action, fleet);
    }
    directive
}

fn apply(directive: &mut Directive, action: &Action, fleet: &Fleet) {
    match action {
        Action::Copies { service, amount } => {
            directive.copies.insert(*service, copies(*amount));
        }
        Action::Headroom { service, per_mille } => {
            directive.copies.insert(*service, Copies::Headroom(share(*per_mille)));
        }
        Action::Hold => directive.default_copies = Copies::Hold,
        Action::Drain(Target::Vm(vm)) => directive.drains.push(*vm),
        Action::Drain(Target::Rack(rack)) => {
            let vms = fleet.vms().filter(|(_, vm)| vm.rack == *rack);
            directive.drains.extend(vms.map(|(id, _)| id));
        }
        Action::WavePace(vms) => directive.pace = Pace::AtMost(u32::from(*vms)),
        Action::WavePause => directive.pace = Pace::Paused,
        Action::Shed(class) => directive.shed = Some(*class),
        Action::RefuseMoves => directive.refuse_moves = true,
        Action::Order(services) => directive.placement_order.clone_from(services),
        _ => log::warn!("ignoring a rule action that this version does not support: {action:?}"),
    }
}

fn copies(amount: Amount) -> Copies {
    match amount {
        Amount::Count(count) => Copies::Count(count),
        Amount::PerMille(thousandths) => Copies::Share(share(thousandths)),
    }
}

/// Converts thousandths to a share. A headroom can exceed the whole; the policy
/// accepts at most the whole.
fn share(per_mille: u16) -> Share {
    Share::from_per_mille(per_mille).unwrap_or(Share::WHOLE)
}
