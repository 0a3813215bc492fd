use laburnumdeal_model::OperatorSettings;
use subtle::ConstantTimeEq;

/// Tells operators by their tokens.
pub struct OperatorAuth {
    operators: Vec<OperatorSettings>,
}

/// An operator who proved who they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name in the audit trail.
    pub name: String,
    /// Whether the operator may only ask.
    pub read_only: bool,
}

impl OperatorAuth {
    /// Returns a check against these operators.
    pub fn new(operators: &[OperatorSettings]) -> Self {
        Self {
            operators: operators.to_vec(),
        }
    }

    /// Returns the operator whose token an `Authorization` header carries. Every token is
    /// compared, each in constant time.
    pub fn operator(&self, authorization: Option<&str>) -> Option<Operator> {
        let token = authorization?.strip_prefix("Bearer ")?.trim();
        let mut found = None;
        for operator in &self.operators {
            let same: bool = operator.token.as_bytes().ct_eq(token.as_bytes()).into();
            if same {
                found = Some(Operator {
                    name: operator.name.clone(),
                    read_only: operator.read_only,
                });
            }
        }
        found
    }
}
