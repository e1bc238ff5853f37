//! Capacity of a pool by run time.

/// Bands per doubling of the run time.
const BANDS_PER_OCTAVE: f64 = 4.0;

/// Run times below 2^8 microseconds share the first band.
const FIRST_OCTAVE: f64 = 8.0;

/// Number of bands; the last one starts at 2^26 microseconds.
const BAND_COUNT: usize = 73;

/// Fixed-point scale of rates in units per microsecond. Integers add and subtract
/// without accumulating rounding errors, and can be summed quickly.
const RATE_SCALE: f64 = (1_u64 << 40) as f64;

/// Capacity of the usable backends of a pool, grouped into bands of run time.
///
/// The cost of summing over the faster backends does not depend on their number.
#[derive(Debug)]
pub(crate) struct CapacityBands {
    units: [u32; BAND_COUNT],
    rates: [u64; BAND_COUNT],
    total_units: u32,
    total_rate: u64,
}

impl CapacityBands {
    /// Creates bands without capacity.
    pub(crate) const fn new() -> Self {
        Self { units: [0; BAND_COUNT], rates: [0; BAND_COUNT], total_units: 0, total_rate: 0 }
    }

    /// Returns the band of a run time, given as the natural logarithm of microseconds.
    pub(crate) fn band(ln: f64) -> usize {
        let octave = ln * std::f64::consts::LOG2_E - FIRST_OCTAVE;
        ((octave * BANDS_PER_OCTAVE).max(0.0) as usize).min(BAND_COUNT - 1)
    }

    /// Returns the geometric midpoint of a band, in microseconds.
    fn midpoint_us(band: usize) -> f64 {
        (FIRST_OCTAVE + (band as f64 + 0.5) / BANDS_PER_OCTAVE).exp2()
    }

    /// Adds capacity.
    pub(crate) fn add(&mut self, band: usize, units: u32) {
        self.set(band, self.units[band].saturating_add(units));
    }

    /// Removes capacity.
    pub(crate) fn sub(&mut self, band: usize, units: u32) {
        self.set(band, self.units[band].saturating_sub(units));
    }

    fn set(&mut self, band: usize, units: u32) {
        let rate = (f64::from(units) / Self::midpoint_us(band) * RATE_SCALE) as u64;
        self.total_units = self.total_units - self.units[band] + units;
        self.total_rate = self.total_rate - self.rates[band] + rate;
        self.units[band] = units;
        self.rates[band] = rate;
    }

    /// Returns the capacity in units and the rate in units per microsecond of the bands
    /// before `band`.
    pub(crate) fn below(&self, band: usize) -> (f64, f64) {
        let units: u32 = self.units[..band].iter().sum();
        let rate: u64 = self.rates[..band].iter().sum();
        (f64::from(units), rate as f64 / RATE_SCALE)
    }

    /// Returns the capacity and rate of all bands.
    pub(crate) fn total(&self) -> (f64, f64) {
        (f64::from(self.total_units), self.total_rate as f64 / RATE_SCALE)
    }

    /// Returns the run time of the fastest band with capacity, in microseconds.
    pub(crate) fn fastest_us(&self) -> Option<f64> {
        self.units.iter().position(|&units| units > 0).map(Self::midpoint_us)
    }
}
