/**
 * What the telemetry uses of hdr-histogram-js: histograms in plain JavaScript, built as the library
 * builds them. Its log writer makes number formats as it loads, which takes longer than the rest of
 * a start of the gateway.
 */
import { constructorFromBucketSize } from '../../node_modules/hdr-histogram-js/dist/JsHistogramFactory.js';

const BUCKET_BITS = 32;
const LOWEST_DISCERNIBLE = 1;

/** Builds a histogram that grows as it is filled, as the library does by default. */
export function build({ highestTrackableValue, numberOfSignificantValueDigits }) {
  const Histogram = constructorFromBucketSize(BUCKET_BITS);
  const histogram = new Histogram(
    LOWEST_DISCERNIBLE,
    highestTrackableValue,
    numberOfSignificantValueDigits,
  );
  histogram.autoResize = true;
  return histogram;
}
