//! Which operations are charged again, and which are tried elsewhere, after a home has refused them.

use oleander_core::level::Level;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_node::charges;
use oleander_session::work::RateCharge;
use rstest::rstest;

const CHARGE: Option<RateCharge> = Some(RateCharge { cost: 1, level: Level::FIRST });

/// `Refused` is a refusal of a statement, and what follows for its operation.
struct Refused {
    charge: Option<RateCharge>,
    code: RefusalCode,
    /// `true` if the home had taken the tokens.
    charged: bool,
    /// What the next home takes.
    remaining: Option<RateCharge>,
    /// `true` if no other home is tried.
    is_final: bool,
}

/// The pattern is a statement that one home refuses and another one runs, as with replicas that are
/// behind. Guards against operations that use up their workspace's rate twice, and against a
/// workspace over its rate that asks the owners of the rate once for each instance.
#[rstest]
#[case::refused_before_the_charge(Refused {
    charge: CHARGE,
    code: RefusalCode::ReplicaBehind,
    charged: false,
    remaining: CHARGE,
    is_final: false,
})]
#[case::refused_after_the_charge(Refused {
    charge: CHARGE,
    code: RefusalCode::ReplicaBehind,
    charged: true,
    remaining: None,
    is_final: false,
})]
#[case::over_its_rate(Refused {
    charge: CHARGE,
    code: RefusalCode::RateLimited,
    charged: false,
    remaining: CHARGE,
    is_final: true,
})]
#[case::cold_instance(Refused {
    charge: CHARGE,
    code: RefusalCode::RateLimited,
    charged: true,
    remaining: None,
    is_final: false,
})]
#[case::cold_instance_without_a_charge(Refused {
    charge: None,
    code: RefusalCode::RateLimited,
    charged: false,
    remaining: None,
    is_final: false,
})]
fn an_operation_is_charged_once(#[case] refused: Refused) {
    let Refused { charge, code, charged, .. } = refused;
    let refusal = Refusal { charged, ..Refusal::not_run(code, "") };
    assert_eq!(charges::remaining_charge(charge, &refusal), refused.remaining);
    assert_eq!(charges::is_over_rate(charge, &refusal), refused.is_final);
}
