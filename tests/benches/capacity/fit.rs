//! Linear least squares with few terms.

/// Returns the coefficients of the least-squares fit.
pub fn fit<const N: usize>(terms: &[[f64; N]], values: &[f64]) -> [f64; N] {
    let mut rows = [[0.0; N]; N];
    let mut right = [0.0; N];
    for (term, value) in terms.iter().zip(values) {
        for i in 0..N {
            right[i] += term[i] * value;
            for j in 0..N {
                rows[i][j] += term[i] * term[j];
            }
        }
    }
    solve(rows, right)
}

/// Returns the value that a fit predicts for one row of terms.
pub fn predict<const N: usize>(coefficients: &[f64; N], term: &[f64; N]) -> f64 {
    coefficients.iter().zip(term).map(|(c, t)| c * t).sum()
}

/// Returns the largest error of a fit relative to the measured value, in percent.
pub fn worst_error_percent<const N: usize>(
    coefficients: &[f64; N],
    terms: &[[f64; N]],
    values: &[f64],
) -> f64 {
    let errors = terms
        .iter()
        .zip(values)
        .map(|(term, value)| (predict(coefficients, term) - value).abs() / value * 100.0);
    errors.fold(0.0, f64::max)
}

/// Solves the normal equations by Gaussian elimination with partial pivoting. Terms that do not
/// vary independently get the coefficient 0.
fn solve<const N: usize>(mut rows: [[f64; N]; N], mut right: [f64; N]) -> [f64; N] {
    for column in 0..N {
        let pivot = (column..N)
            .max_by(|a, b| rows[*a][column].abs().total_cmp(&rows[*b][column].abs()))
            .expect("a column has rows");
        rows.swap(column, pivot);
        right.swap(column, pivot);
        if rows[column][column].abs() < f64::EPSILON {
            continue;
        }
        for row in column + 1..N {
            let pivot = rows[column];
            let factor = rows[row][column] / pivot[column];
            for (value, other) in rows[row].iter_mut().zip(pivot) {
                *value -= factor * other;
            }
            right[row] -= factor * right[column];
        }
    }
    let mut solution = [0.0; N];
    for row in (0..N).rev() {
        let known: f64 = (row + 1..N).map(|p| rows[row][p] * solution[p]).sum();
        if rows[row][row].abs() >= f64::EPSILON {
            solution[row] = (right[row] - known) / rows[row][row];
        }
    }
    solution
}
