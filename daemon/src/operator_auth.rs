use laburnumdeal_model::OperatorSettings;
use subtle::ConstantTimeEq;

/// Authenticates operators by their tokens.
pub struct OperatorAuth {
    operators: Vec<OperatorSettings>,
}

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name in the audit log.
    pub name: String,
    /// Whether the operator may only run queries.
    pub read_only: bool,
}

impl OperatorAuth {
    /// Creates the authentication for these operators.
    pub fn new(operators: &[OperatorSettings]) -> Self {
        Self {
            operators: operators.to_vec(),
        }
    }

    /// Returns the operator whose token is in an `Authorization` header. Every token is compared,
    /// each in constant time, so that the response time reveals nothing about the tokens.
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<Operator> {
        let token = authorization?.strip_prefix("Bearer ")?.trim();
        let mut found = None;
        for operator in &self.operators {
            let is_match: bool = operator.token.as_bytes().ct_eq(token.as_bytes()).into();
            if is_match {
                found = Some(Operator {
                    name: operator.name.clone(),
                    read_only: operator.read_only,
                });
            }
        }
        found
    }
}
