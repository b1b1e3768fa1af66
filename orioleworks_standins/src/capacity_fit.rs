//! Linear fits over measured points; see `docs/CAPACITY.md`.

use std::fmt;

/// Repeated measurements of one figure at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the figure.
    pub name: String,
    /// Unit of the size that is varied.
    pub per: String,
    /// Unit of the figure.
    pub unit: String,
    /// Each size with its measurements.
    pub points: Vec<(f64, Vec<f64>)>,
}

/// Least-squares line through all measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fit {
    /// Change of the figure per unit of size.
    pub slope: f64,
    /// Figure at size 0.
    pub intercept: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Largest standard deviation between the repeats at one size.
    pub noise: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
}

impl Series {
    /// Series without points.
    pub fn new(name: &str, per: &str, unit: &str) -> Self {
        Self { name: name.into(), per: per.into(), unit: unit.into(), points: Vec::new() }
    }

    /// Adds a measurement at a size.
    pub fn add(&mut self, size: f64, value: f64) {
        match self.points.iter_mut().find(|(at, _)| *at == size) {
            Some((_, values)) => values.push(value),
            None => self.points.push((size, vec![value])),
        }
    }

    /// Whether every measurement is 0.
    pub fn is_zero(&self) -> bool {
        self.points.iter().all(|(_, values)| values.iter().all(|value| *value == 0.0))
    }

    /// Line through all measurements; needs at least two sizes for a slope.
    pub fn fit(&self) -> Fit {
        let all: Vec<(f64, f64)> =
            self.points.iter().flat_map(|(x, ys)| ys.iter().map(|y| (*x, *y))).collect();
        let count = all.len() as f64;
        let mean_x = all.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = all.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sxx: f64 = all.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sxy: f64 = all.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let syy: f64 = all.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = all.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let slope_error =
            if sxx > 0.0 && count > 2.0 { (residual / (count - 2.0) / sxx).sqrt() } else { 0.0 };
        let noise = self.points.iter().map(|(_, ys)| standard_deviation(ys)).fold(0.0, f64::max);
        let r2 = if syy > 0.0 { 1.0 - residual / syy } else { 1.0 };
        Fit { slope, intercept, slope_error, noise, r2 }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn standard_deviation(values: &[f64]) -> f64 {
    if values.len() < 2 {
        return 0.0;
    }
    let average = mean(values);
    let sum: f64 = values.iter().map(|value| (value - average).powi(2)).sum();
    (sum / (values.len() - 1) as f64).sqrt()
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}] by {}:", self.name, self.unit, self.per)?;
        for (size, values) in &self.points {
            write!(f, " {size:.0}: {:.4} ±{:.4};", mean(values), standard_deviation(values))?;
        }
        let fit = self.fit();
        write!(
            f,
            " slope {:.6} ±{:.6} per {}, base {:.4}, noise {:.4}, r2 {:.3}",
            fit.slope, fit.slope_error, self.per, fit.intercept, fit.noise, fit.r2
        )
    }
}
