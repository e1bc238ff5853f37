//! Capacity of a pool by speed.

/// Bands per doubling of the run time.
const PER_OCTAVE: f64 = 4.0;

/// Run times below 2^8 microseconds share the first band.
const FIRST_OCTAVE: f64 = 8.0;

/// Bands in all, up to 2^26 microseconds.
const COUNT: usize = 73;

/// Parts of a unit a microsecond in which rates are counted: whole numbers add
/// up without drift, and many at once.
const RATE_PARTS: f64 = (1_u64 << 40) as f64;

/// Capacity of the usable back ends of a pool, in bands of run time.
///
/// Sums over the faster back ends cost the same for ten back ends and for
/// thousands.
#[derive(Debug)]
pub(crate) struct CapacityBands {
    units: [u32; COUNT],
    rates: [u64; COUNT],
    sum: u32,
    rate: u64,
}

impl CapacityBands {
    /// Makes bands without capacity.
    pub(crate) const fn new() -> Self {
        Self { units: [0; COUNT], rates: [0; COUNT], sum: 0, rate: 0 }
    }

    /// Returns the band of a run time, given its natural logarithm.
    pub(crate) fn band(ln: f64) -> usize {
        let octave = ln * std::f64::consts::LOG2_E - FIRST_OCTAVE;
        ((octave * PER_OCTAVE).max(0.0) as usize).min(COUNT - 1)
    }

    /// Returns the middle run time of a band, in microseconds.
    fn middle(band: usize) -> f64 {
        (FIRST_OCTAVE + (band as f64 + 0.5) / PER_OCTAVE).exp2()
    }

    /// Adds capacity.
    pub(crate) fn add(&mut self, band: usize, units: u32) {
        self.set(band, self.units[band].saturating_add(units));
    }

    /// Takes capacity back.
    pub(crate) fn sub(&mut self, band: usize, units: u32) {
        self.set(band, self.units[band].saturating_sub(units));
    }

    fn set(&mut self, band: usize, units: u32) {
        let rate = (f64::from(units) / Self::middle(band) * RATE_PARTS) as u64;
        self.sum = self.sum - self.units[band] + units;
        self.rate = self.rate - self.rates[band] + rate;
        self.units[band] = units;
        self.rates[band] = rate;
    }

    /// Returns capacity and rate (units a microsecond) of the bands before `band`.
    pub(crate) fn below(&self, band: usize) -> (f64, f64) {
        let units: u32 = self.units[..band].iter().sum();
        let rate: u64 = self.rates[..band].iter().sum();
        (f64::from(units), rate as f64 / RATE_PARTS)
    }

    /// Returns capacity and rate of all bands.
    pub(crate) fn total(&self) -> (f64, f64) {
        (f64::from(self.sum), self.rate as f64 / RATE_PARTS)
    }

    /// Returns the run time of the fastest band with capacity, in microseconds.
    pub(crate) fn fastest_us(&self) -> Option<f64> {
        self.units.iter().position(|&units| units > 0).map(Self::middle)
    }
}
